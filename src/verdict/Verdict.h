/// Who may say what about a request: whether it ran, did not run, or may have.
///
/// The guard, the node beside the backend server, is the only judge of whether an attempt started there. The entry,
/// where the request came in, tells its caller "not run" only if the attempt never left, or if that guard said so and
/// will keep to it. Decisions only: clocks are injected, and messages come and go typed.
#pragma once

#include "board/Board.h"

namespace Vanillaridge {

// --- Age of messages ----------------------------------------------------------------------------------------------

/// Bounds the age of another node's messages, without synchronized clocks. Each side stamps its messages with its own
/// BootClock. A stamp that was made after we sent a challenge cannot be older than the challenge, and later stamps
/// tell how much later they were made.
class PeerClock {
public:
    /// \param challengedAt when we sent our Hello
    /// \param answeredAt when the Ready came that answers it
    /// \param stamp the Ready's `sentAt`
    PeerClock(Instant challengedAt, Instant answeredAt, Duration stamp);

    /// Takes a newer pair of challenge and answer (Ping and Pong) if it bounds ages more tightly.
    void refresh(Instant challengedAt, Instant answeredAt, Duration stamp);

    /// How long ago, at most, the message with this stamp left its sender. Never less than 0.
    Duration ageBound(Duration stamp, Instant handledAt) const;

private:
    Instant m_challengedAt;
    Duration m_stamp;
};

// --- Guard --------------------------------------------------------------------------------------------------------

/// How much the guard remembers, and how old an OpenRequest may be.
struct GuardLimits {
    /// An OpenRequest whose age bound exceeds this is refused. Whatever is barred is remembered for longer.
    Duration maximumOpenAge { seconds(5) };
    /// How long an attempt is remembered after its sender's deadline, in case its message or a query is late. After
    /// that its verdict is Unknown.
    Duration memoryAfterDeadline { seconds(5) };
    /// Attempts remembered at most, running ones included. None is forgotten early. Close to the bound new work is
    /// refused, and at it the calls of running requests as well.
    size_t attempts { 100'000 };
    /// The longest that a finished attempt is remembered, however far away its sender's deadline was.
    Duration longestMemory { seconds(30) };
};

/// The guard's ledger of attempts, in board.verdicts(); those that wait or run are also in board.attempts() with their
/// context. May be called by several threads at once: each step is one change under one shard's lock.
class GuardLedger {
public:
    GuardLedger(Board&, const Clock&, GuardLimits = {});

    /// Takes in a request, before anything else is decided about it. None if it was taken. Duplicate if it waits or has
    /// started already: nothing is to be sent, since its first message will be answered. Otherwise why it must be
    /// refused; the reason's outcome tells whether it may be called not started. Each attempt is taken at most once.
    /// Whoever decides to refuse it later must bar() it before telling so.
    /// \param sender the other end of the connection; only an attempt of its own requests is taken
    /// \param senderClock that connection's, which bounds the message's age
    Reason accept(const OpenRequest&, const Hello& sender, const PeerClock& senderClock);

    /// To be called at the very moment before the backend server gets the request, and heeded: false if the attempt
    /// is barred, cancelled, expired, unknown, or has started before.
    bool start(const AttemptId&);

    /// The backend server is done with it, or its connection is gone.
    void finish(const AttemptId&);

    /// The backend server itself says that it has not run the attempt, which it was sent, and never will.
    void disclaim(const AttemptId&);

    /// Sees to it that the attempt never starts, and tells whether that is so: NotStarted, or Started when it is too
    /// late. To be called before any refusal is sent.
    VerdictKind bar(const AttemptId&);

    /// The sender no longer wants the answer: like bar(), and marks a started one as cancelled.
    VerdictKind cancel(const AttemptId&);

    /// Answers a query, and bars the attempt if it has not started. Unknown if the query is about another run of this
    /// guard, comes from somebody else than the attempt's sender, or is about an attempt so old that it may have been
    /// forgotten.
    /// \param sender the other end of the connection that the query came on
    /// \param senderClock that connection's, which bounds the age of the attempt's OpenRequest
    VerdictReply verdict(const VerdictQuery&, const Hello& sender, const PeerClock& senderClock);

    /// Forgets what need no longer be remembered. To be called every second or so.
    void expire();

private:
    VerdictKind stop(const AttemptId&, bool cancelled);
    VerdictKind judge(const VerdictQuery&, const PeerClock&);
    Reason refusalForAge(Duration age, Duration remaining) const;
    Duration memoryOf(Duration remaining) const;
    bool mayBeForgotten(Duration age, Duration remaining) const;
    bool reserve(double share = 1);
    void release(size_t records);
    Duration barredMemory() const;

    Board& m_board;
    const Clock& m_clock;
    const GuardLimits m_limits;
    /// Records in board.verdicts(). May run ahead of the table for a moment, never behind it.
    std::atomic<size_t> m_remembered { 0 };
};

// --- Entry --------------------------------------------------------------------------------------------------------

/// What a verdict makes of an end; no reply counts as Unknown. Ends that a verdict says nothing about stay as they are.
AttemptEnd withVerdict(AttemptEnd, VerdictKind);

enum class NextStep : uint8_t {
    /// Answer the caller with the reason and its outcome, and close the request.
    AnswerCaller,
    /// Ask the guard for a verdict over a fresh connection, and come back with what it said.
    AskForVerdict,
    /// Try another server.
    TryAnotherServer,
    /// The answer has begun: end it so that the caller sees that it is not whole.
    AbortAnswer,
};

struct Decision {
    NextStep step { NextStep::AnswerCaller };
    Reason reason { Reason::None };
};

/// What the decision depends on beside the end.
struct RequestFacts {
    bool idempotent { false };
    /// Whether the body can be sent once more.
    bool bodyReplayable { true };
    /// Whether time and retry budget allow for another try.
    bool retryAllowed { false };
    /// Why it is unknown whether an earlier attempt ran; None if no earlier one can have.
    Reason mayHaveRun { Reason::None };
};

/// What to do after an attempt. The reason's outcome is "not run" only if no attempt of the request can have run.
/// \param refusal the guard's reason, for the two refused ends
Decision decideAfter(AttemptEnd, Reason refusal, const RequestFacts&);

/// The entry's ledger of requests, in board.entries(). Whatever comes late, or crossed with something else, meets an
/// attempt that is no longer the present one, and is dropped. May be called by several threads at once.
class EntryLedger {
public:
    explicit EntryLedger(Board&);

    /// Begins a request. Its context's attempt number must be 0.
    void open(const RequestContext&, Instant deadline, std::optional<RequestId> parent, bool bodyReplayable);

    /// Begins the request's next attempt, at this run of a guard; nothing if the request is no longer here.
    /// \param openedAt the BootClock stamp that the OpenRequest will carry
    std::optional<AttemptId> beginAttempt(const RequestId&, BootId guard, Duration openedAt);

    /// Whether this answer may be handed to the caller: it belongs to the request's present attempt, and is the first.
    /// May come while a verdict is asked for, which is then moot.
    /// \param expected the attempt whose stream it came on
    bool takeAnswer(const AttemptId& expected, const AnswerHead&);
    /// The answer has been passed on whole: nothing that happens to its attempt matters any more.
    void finishAnswer(const AttemptId&);

    /// The present attempt was refused. Nothing if this answers another one, or something else was decided before.
    /// \param expected the attempt whose stream it came on
    std::optional<Decision> refused(const AttemptId& expected, const Refusal&, bool retryAllowed);
    /// The present attempt ended, other than by a refusal. Nothing if it is no longer the present one, or something
    /// else was decided before: then there is nothing to do. Once its answer has begun, any end cuts it short.
    /// \param retryAllowed whether time and retry budget allow for another try
    std::optional<Decision> ended(const AttemptId&, AttemptEnd, bool retryAllowed);

    /// The query to send after AskForVerdict, or while the guard is silent; nothing if it is no longer wanted.
    std::optional<VerdictQuery> verdictQuery(const AttemptId&);
    /// The verdict came, or will not come (Unknown). Nothing if it is no longer wanted.
    std::optional<Decision> judged(const VerdictReply&, bool retryAllowed);

    /// The request has been answered, or its caller is gone.
    void close(const RequestId&);

private:
    Board& m_board;
};

// --- Repeats by callers -------------------------------------------------------------------------------------------

/// How much is remembered of callers' idempotency keys.
struct DuplicateLimits {
    /// Keys remembered at most. At the bound further ones are refused; none is forgotten early.
    size_t keys { 100'000 };
};

enum class DuplicateKind : uint8_t {
    /// No request with this key is known: go on, and tell how it ended.
    First,
    InProgress,
    Answered,
    /// There is no room to remember it: refuse it with MemoryFull.
    NoRoom,
};

/// What is known of a request with the same account and key.
struct Earlier {
    DuplicateKind kind { DuplicateKind::First };
    /// Of the answer, if there was one.
    uint16_t status { 0 };
};

/// Recognises a caller's repeats by account and Idempotency-Key, as far as this node remembers: for
/// Policy::duplicateMemory after the first was answered, and while it lives. What entered at another node is not
/// recognised. May be called by several threads at once.
class Duplicates {
public:
    Duplicates(Board&, const Clock&, DuplicateLimits = {});

    /// Looks the key up, and claims it for this request if it is the first.
    Earlier begin(std::string_view account, std::string_view key, const RequestId&);
    /// The request that claimed the key has ended. One that has not run is forgotten, so that a repeat of it is a
    /// first.
    void end(std::string_view account, std::string_view key, const RequestId&, Outcome, uint16_t status);
    /// Forgets what is too old. To be called every second or so.
    void expire();

private:
    Duration memory() const;

    Board& m_board;
    const Clock& m_clock;
    const DuplicateLimits m_limits;
    std::atomic<size_t> m_remembered { 0 };
};

} // namespace Vanillaridge

/// What the fleet in memory of TruthWorld is made of, and the steps of its histories.
#pragma once

#include "verdict/Verdict.h"

#include <deque>
#include <ostream>
#include <set>

namespace Vanillaridge {

/// What may happen next. `who` and `detail` of a step choose among what is there, by remainder.
enum class Action : uint8_t {
    Submit,
    DeliverToGuard,
    DeliverToEntry,
    Start,
    Answer,
    FailBackend,
    Refuse,
    PassTime,
    PassLongTime,
    Leave,
    /// A connection is lost; its guard may still read what was sent.
    Cut,
    /// A connection goes silent, without anybody noticing, or is heard again.
    Silence,
    /// A process sends an open request once more, over a fresh connection, not knowing that it did before.
    Repeat,
    /// A guard mixes up the streams of two requests that run.
    Cross,
    RestartEntry,
    RestartGuard,
    Freeze,
    Count,
};

struct Step {
    Action action { Action::Submit };
    uint32_t who { 0 };
    uint32_t detail { 0 };
};

inline std::ostream& operator<<(std::ostream& out, const Step& step)
{
    static constexpr std::array<std::string_view, static_cast<size_t>(Action::Count)> names { "Submit",
        "DeliverToGuard", "DeliverToEntry", "Start", "Answer", "FailBackend", "Refuse", "PassTime", "PassLongTime",
        "Leave", "Cut", "Silence", "Repeat", "Cross", "RestartEntry", "RestartGuard", "Freeze" };
    return out << names[static_cast<size_t>(step.action)] << '(' << step.who << ',' << step.detail << ')';
}

/// A caller's view of its request.
struct CallerView {
    bool idempotent { false };
    /// Left, or lost its own connection.
    bool gone { false };
    Reason told { Reason::None };
    /// What the answer said, when there was one.
    std::string answer;
    bool isTold { false };
};

namespace Truth {

    struct OffsetClock final : Clock {
        Instant now() const override { return base->now() + offset; }
        const ManualClock* base { nullptr };
        Duration offset { 0 };
    };

    // A message on its way; none for the news that the connection is lost.
    struct Parcel {
        uint64_t stream { 0 };
        std::optional<StreamMessage> message;
    };

    struct Link {
        size_t entry { 0 };
        size_t guard { 0 };
        bool silent { false };
        std::deque<Parcel> toGuard;
        std::deque<Parcel> toEntry;
        // What the entry holds.
        bool entryOpen { true };
        std::optional<Hello> guardHello;
        std::vector<AttemptId> pending;
        std::vector<OpenRequest> repeats;
        std::optional<AttemptId> asksAbout;
        std::unordered_map<uint64_t, AttemptId> streams;
        std::set<uint64_t> answering;
        // What the guard holds.
        bool guardOpen { true };
        Hello entryHello;
        Instant challengedAt;
        std::optional<PeerClock> entryClock;
    };

    struct Node {
        OffsetClock clock;
        Hello hello;
        bool frozen { false };
        std::unique_ptr<Board> board;
    };

    struct OwnRequest {
        size_t guard { 0 };
        AttemptId attempt;
        Instant deadline;
        Instant verdictDeadline;
        int retriesLeft { 2 };
    };

    struct Entry : Node {
        std::unique_ptr<EntryLedger> ledger;
        uint64_t sequence { 0 };
        std::unordered_map<RequestId, OwnRequest> requests;
    };

    struct Job {
        AttemptId attempt;
        Link* link { nullptr };
        uint64_t stream { 0 };
    };

    struct Guard : Node {
        std::unique_ptr<GuardLedger> ledger;
        std::vector<Job> waiting;
        std::vector<Job> running;
    };

    struct SentOpen {
        size_t entry { 0 };
        size_t guard { 0 };
        OpenRequest open;
    };

} // namespace Truth

} // namespace Vanillaridge

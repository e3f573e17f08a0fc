/// One attempt at a backend server beside this node. Private to the node library.
#pragma once

#include "node/Parts.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>

namespace Vanillaridge {

/// Runs on a strand of its own. Two coroutines work on it: one reads what the entry sends, the other takes the request
/// through admission to the backend server and the answer back.
class GuardAttempt : public std::enable_shared_from_this<GuardAttempt> {
public:
    GuardAttempt(Parts&, Strand, MessageStreamPointer, OpenRequest);

    Task<void> run(const PeerClock&);

private:
    Task<void> serveAccepted();
    Reason findServer(Endpoint&);
    Task<AdmissionDecision> awaitAdmission();
    Task<void> callBackend(const Endpoint&);
    Task<void> passAnswer();
    Task<bool> passAnswerBody();
    void awaitDecision();
    void startReading();
    bool holdBody();
    size_t holdMore();
    void startSendingBody();
    static Task<void> sendBody(std::shared_ptr<GuardAttempt>);
    Task<void> writePieces();
    static Task<void> readMessages(std::shared_ptr<GuardAttempt>);
    Task<void> takeMessages();
    void take(StreamMessage);
    void watchDeadline();
    void cancel(Reason);
    bool outlives(Reason) const;
    void enterLabel();
    void removeLabel();
    void refuse(Reason, bool started, Duration retryAfter = Duration(0));
    void endAdmission(CompletionStatus);
    void report() const;
    uint32_t retriesUsed() const;
    RequestHead headForBackend() const;
    BackendCall::StrayTest strayTest();
    const RequestContext& context() const { return m_open.context; }
    const AttemptId& id() const { return m_open.context.attempt; }

    Parts& m_parts;
    Strand m_strand;
    MessageStreamPointer m_stream;
    OpenRequest m_open;
    /// The caller's own id for the request; empty if it gave none.
    std::string m_label;
    /// The backend server's own name for itself.
    std::string m_instance;
    /// What the backend server was sent.
    RequestHead m_sent;
    /// What the answer's head was judged to be when it was read.
    AnswerKind m_answerKind { AnswerKind::Stray };
    Instant m_deadline;
    Instant m_startedAt;
    boost::asio::steady_timer m_timer;

    /// Why nobody waits for the answer any more; None as long as somebody does.
    Reason m_cancelled { Reason::None };
    /// How it ended; None for an answer that was passed on whole.
    Reason m_end { Reason::None };
    uint16_t m_status { 0 };
    Instant m_acceptedAt;
    bool m_waiting { false };
    bool m_ended { false };
    std::shared_ptr<Event> m_admissionDecided;
    AdmissionDecision m_admission;
    std::shared_ptr<BackendCall> m_call;

    /// Counts the bytes of the request's body that may lie here.
    BufferHold m_hold;
    /// Pieces of the request's body that have come and are not written yet; bounded by the stream's credit.
    std::deque<BodyChunk> m_pieces;
    Event m_pieceCame;
    bool m_sendingBody { false };
    /// The last piece of the request's body has come.
    bool m_bodyIsWhole { false };
    Event m_bodyDone;
};

} // namespace Vanillaridge

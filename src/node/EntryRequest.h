/// One request at the node where it entered, from its head to its reply. Private to the node library.
#pragma once

#include "node/Parts.h"
#include "node/RequestBody.h"

#include <boost/asio/steady_timer.hpp>

namespace Vanillaridge {

/// Runs on its exchange's strand.
class EntryRequest : public std::enable_shared_from_this<EntryRequest> {
public:
    /// \param parent the attempt whose backend server makes this call; nothing for a caller's request
    EntryRequest(Parts&, std::shared_ptr<HttpExchange>, std::optional<AttemptId> parent);

    Task<void> run();

private:
    /// One attempt while it is under way.
    struct Attempt {
        PlacementChoice choice;
        AttemptId id;
        Instant sentAt;
        uint32_t lent { 0 };
        std::optional<uint32_t> usedBelow;
        std::optional<LoadFeedback> feedback;
        Duration backendTime { 0 };
        Duration retryAfter { 0 };
        Reason reason { Reason::None };
    };

    Task<void> handle();

    // Before the first attempt.
    EntryDecision decide();
    Task<Reason> passGates();
    Reason claimIdempotencyKey();
    Task<Reason> takeToken();
    QuotaDecision askQuota(const std::shared_ptr<Mailbox<QuotaDecision>>&);
    void makeBody();
    void open();
    void watch();
    void watchCaller();

    // Attempts.
    Task<void> serve();
    std::optional<PlacementChoice> chooseServer();
    CostTraits costTraits() const;
    static Reason timeoutAfter(Reason lastReason);
    bool repeatsRejection() const;
    Task<void> pause(Duration);
    Task<Decision> makeAttempt(Attempt&);
    Task<Decision> awaitAnswer(Attempt&);
    void waitThroughSilence(const Attempt&);
    static Task<void> askWhileSilent(std::shared_ptr<EntryRequest>, MessageStreamPointer, AttemptId, Endpoint);
    Task<Decision> passAnswer(Attempt&, AnswerHead);
    Decision takeRefusal(Attempt&, const Refusal&);
    Task<Decision> endWithoutAnswer(Attempt&, AttemptEnd);
    void sendOpen(Attempt&);
    Duration remainingTime() const;
    void conclude(const Attempt&);
    bool mayRetry(Reason);
    void cancelAttempt(Reason);

    // The end.
    void report() const;
    std::string trailText() const;
    Task<void> refuse(Reason, Duration retryAfter);
    void close(Outcome, uint16_t status);
    std::string_view service() const { return m_decision.context.service; }
    const RequestId& id() const { return m_decision.context.attempt.request; }

    Parts& m_parts;
    std::shared_ptr<HttpExchange> m_exchange;
    std::optional<AttemptId> m_parent;
    RouteName m_parentRoute;
    EntryDecision m_decision;
    std::string m_key;
    /// The caller's own name for the request.
    std::string m_label;
    /// How it ended; None for an answer that was passed on whole.
    Reason m_end { Reason::None };
    Duration m_retryAfter { 0 };
    /// One attempt that has ended, for the log.
    struct TrailStep {
        Endpoint node;
        Reason reason { Reason::None };
        Duration took { 0 };
    };
    std::vector<TrailStep> m_trail;
    /// Why the last attempt was not followed by another one, as the log tells it; empty when nothing stood in the way.
    std::string_view m_retryObstacle;
    std::string m_idempotencyKey;
    bool m_claimed { false };
    std::optional<QuotaDecision> m_token;
    QuotaEvidence m_quota;
    Instant m_receivedAt;
    boost::asio::steady_timer m_deadline;
    bool m_timedOut { false };
    bool m_callerGone { false };
    uint16_t m_answerStatus { 0 };
    std::shared_ptr<RequestBody> m_body;
    MessageStreamPointer m_stream;
    std::vector<NodeId> m_tried;
    /// Of those, the ones whose backend server rejected the request unrun.
    std::vector<NodeId> m_rejectedBy;
    /// Time to wait before the next attempt.
    Duration m_backoff { 0 };
};

} // namespace Vanillaridge

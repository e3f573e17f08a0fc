/// One request at the node where it entered, from its head to its reply. Private to the node library.
#pragma once

#include "node/Parts.h"

#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Vanillaridge {

/// Runs on its exchange's strand.
class EntryRequest : public std::enable_shared_from_this<EntryRequest> {
public:
    EntryRequest(Parts&, std::shared_ptr<HttpExchange>, std::optional<AttemptId> parent);

    Task<void> run();

private:
    using Signal = boost::asio::experimental::concurrent_channel<void(boost::system::error_code)>;

    /// How one attempt came out: an answer passed on (whole or cut), or what to do next.
    struct AttemptResult {
        bool answered { false };
        Decision next;
        Duration retryAfter { 0 };
    };

    EntryDecision decide();
    Task<Reason> passGates();
    Reason claimIdempotencyKey();
    Task<Reason> takeToken();
    void watch();
    Task<void> attemptUntilAnswered();
    Task<AttemptResult> attempt(const PlacementChoice&);
    Task<AttemptResult> exchangeMessages(const AttemptId&, const PlacementChoice&, LoadFeedback&);
    Task<AttemptResult> settle(const AttemptId&, AttemptEnd, const PlacementChoice&);
    AttemptResult settleRefusal(const Refusal&, const Decision&);
    Task<bool> passAnswer(AnswerHead);
    Task<void> sendBody();
    Task<void> joinBody();
    bool mayRetry(Reason);
    bool sendOpen(const AttemptId&);
    Task<void> refuse(Reason, Duration retryAfter);
    void finish(Outcome, uint16_t status);

    Parts& m_parts;
    std::shared_ptr<HttpExchange> m_exchange;
    std::optional<AttemptId> m_parent;
    RouteName m_parentRoute;
    EntryDecision m_decision;
    std::string m_key;
    std::string m_idempotencyKey;
    bool m_claimed { false };
    std::optional<QuotaDecision> m_token;
    Instant m_receivedAt;
    boost::asio::steady_timer m_deadlineTimer;

    // The attempt under way.
    MessageStreamPointer m_stream;
    std::vector<NodeId> m_tried;
    uint32_t m_lent { 0 };
    std::optional<uint32_t> m_usedBelow;
    Duration m_backendTime { 0 };
    bool m_timedOut { false };
    bool m_callerGone { false };

    // The request's body: what has been read is kept while it is short enough to be sent again.
    std::string m_replay;
    bool m_replayable { true };
    bool m_bodyRead { false };
    bool m_bodyBroken { false };
    uint64_t m_bodyBytes { 0 };
    Reason m_bodyReason { Reason::None };
    bool m_sendingBody { false };
    std::shared_ptr<Signal> m_bodySent;
};

} // namespace Vanillaridge

/// Handles a request at the node that it enters: resolves its route and account, and assigns its rank and deadline.
///
/// Makes decisions on the board only. Reading requests and writing replies is left to the front end, so that any front
/// end can use this code.
#pragma once

#include "board/Board.h"
#include "freshness/Freshness.h"
#include "retry/Retry.h"

namespace Vanillaridge {

/// A request, independent of the front end's protocol.
struct IncomingRequest {
    /// Lower case, without the port.
    std::string_view host;
    std::string_view method;
    /// Without the query string.
    std::string_view path;
    /// The caller's key, if it sent one.
    std::optional<std::string_view> key;
    /// Time to the caller's deadline, if it sent one.
    std::optional<Duration> remaining;
    /// Importance that the caller asks for. It can only lower the request's rank, never raise it.
    std::optional<Importance> importance;
    /// Length of the body in bytes, if known.
    std::optional<uint64_t> bodyBytes;
    /// Longest time that the request may have waited in the socket before it was read, from the lag of the event loop.
    /// It is deducted from a caller's remaining time, and indicates how overloaded the node's processor is.
    Duration readDelay { 0 };
    /// The caller's own id for the request; empty if it gave none.
    std::string_view label {};
};

/// The entry's decision: the context of an accepted request, or the reason for refusing it.
struct EntryDecision {
    /// None if the request is accepted.
    Reason reason { Reason::None };
    Duration retryAfter { 0 };
    RequestContext context;
    Instant deadline;
    /// Keeps route and account alive.
    ConfigurationPointer configuration;
    const Route* route { nullptr };
    /// The account that a caller's request is charged to; null on an open route and for a call.
    const ClientAccount* account { nullptr };
    /// Retries lent from the parent attempt's budget.
    uint32_t retriesLent { 0 };
    /// Actual or likely route of the parent, for a call that carries no parent id; empty if there is no evidence.
    RouteName parentRoute {};
};

/// Thread-safe. The references must outlive it.
class Entry {
public:
    Entry(Board&, const Clock&, RandomSource&, const Freshness&, Retry&);
    ~Entry();

    /// Decides on a caller's request, and charges it and its calls to the caller's account. A retry after a refusal is
    /// shed after other requests of its rank.
    ///
    /// Where accounts are declared, a request to an open route is treated as a call of a local backend server if
    /// that has running requests. Such a call carries no parent id. If its own id or its deadline identifies the
    /// parent, it inherits that request's rank, tree and depth; otherwise it inherits rank and depth from a running
    /// request sampled by the evidence for its route. Load reported by downstream services is thus attributed to ranks
    /// in proportion to the actual calls.
    EntryDecision decide(const IncomingRequest&);
    /// Decides on a call that a local backend server makes for a request it is running. Account and importance
    /// are the parent's, and its deadline and retries are upper bounds: the backend server cannot override them.
    EntryDecision decideCall(const IncomingRequest&, const AttemptId& parent);
    /// Records how long a request of the route took from its arrival to the end of its answer. While this node stops, a
    /// call that may outlast the stop is refused.
    void recordServed(std::string_view route, Duration took);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Whether the request target contains the key, which would then be forwarded with it.
bool targetCarriesKey(std::string_view target, std::string_view key);

} // namespace Vanillaridge

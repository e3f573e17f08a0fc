/// What happens to a request where it enters: who it is for, what it is worth, and how long it may take.
///
/// Decisions over the board only. A front end reads requests and writes replies; any front end can use this code.
#pragma once

#include "board/Board.h"
#include "freshness/Freshness.h"
#include "retry/Retry.h"

namespace Vanillaridge {

/// A request as any front end can describe it.
struct IncomingRequest {
    /// In lower case and without a port.
    std::string_view host;
    std::string_view method;
    /// Without the query.
    std::string_view path;
    /// The caller's key; absent when none came.
    std::optional<std::string_view> key;
    /// Time that the caller gives it.
    std::optional<Duration> remaining;
    /// How important the caller holds it; it can lower the request's rank, not raise it.
    std::optional<Importance> importance;
    /// Length of its body in bytes, when known.
    std::optional<uint64_t> bodyBytes;
    /// For how long it may have lain unread: so much of its time may be over, and so short is the node of processor
    /// time.
    Duration unread { 0 };
};

/// What entry decides: a request to be served, or why not.
struct EntryDecision {
    /// None when the request is to be served.
    Reason reason { Reason::None };
    Duration retryAfter { 0 };
    RequestContext context;
    Instant deadline;
    /// Keeps route and account alive.
    ConfigurationPointer configuration;
    const Route* route { nullptr };
    /// The account that a caller's request counts for; null on an open route and for a call.
    const ClientAccount* account { nullptr };
    /// Retries lent by the parent's attempt.
    uint32_t retriesLent { 0 };
    /// Of a call that names no parent: the route of the request that it belongs to, or is likely to.
    RouteName parentRoute {};
};

/// May be called from several threads. References must outlive it.
class Entry {
public:
    Entry(Board&, const Clock&, RandomSource&, const Freshness&, Retry&);
    ~Entry();

    /// Decides about a caller's request. What follows counts against its account. One that has come back after a
    /// refusal is shed after the others of its rank. Where accounts are declared, a request to an open route that
    /// enters beside a backend server with work is taken for a call of that server. It names no parent: if its deadline
    /// tells which running request made it, it takes rank, tree and depth from there, and otherwise the worth of one
    /// that its like mostly belong to, so that the loads that services further down tell of are divided among ranks as
    /// the calls really are.
    EntryDecision decide(const IncomingRequest&);
    /// Decides about a call that a backend server beside this node makes for the request it is running. Account,
    /// importance, deadline and retries are the parent's: the backend server cannot change them.
    EntryDecision decideCall(const IncomingRequest&, const AttemptId& parent);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Whether the key stands where it would be passed on.
bool targetCarriesKey(std::string_view target, std::string_view key);

} // namespace Vanillaridge

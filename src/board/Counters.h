/// Counters of everything that a node decides, cheap enough to count on every request.
#pragma once

#include "core/Core.h"

namespace Vanillaridge {

/// What is counted beside the reasons. counterTable() gives each one's exported name and meaning.
enum class Counter : uint8_t {
    // Requests.
    RequestsReceived,
    RequestsServed,
    RequestsRefused,
    RequestsCancelled,
    CallsTraced,
    CallsUntraced,
    // Retries.
    RetriesSpent,
    RetriesWithoutBudget,
    // Verdicts.
    VerdictsNotStarted,
    VerdictsStarted,
    VerdictsUnknown,
    // Peers.
    PeerMessagesSent,
    PeerMessagesReceived,
    PeerMessagesMalformed,
    PeerMessagesForged,
    PeerConnectionsOpened,
    PeerConnectionsLost,
    ControlBytesSent,
    ControlBytesReceived,
    // Callers' connections.
    ConnectionsAccepted,
    ConnectionsDisplaced,
    ConnectionsTurnedAway,
    AcceptsFailed,
    ConnectionsEndedForBuffers,
    // Quota.
    QuotaPulls,
    QuotaTokensCreated,
    QuotaTokensExpired,
    QuotaTokensReturned,
    QuotaLeasesAcquired,
    QuotaLeasesLost,
    QuotaRefusedOutOfTokens,
    QuotaRefusedNoAnswer,
    QuotaRefusedQueueFull,
    QuotaRefusedNotDeclared,
    QuotaRefusedStopping,
    // Membership.
    MembershipProbes,
    MembershipProbesFailed,
    MembershipSuspicions,
    MembershipDeaths,
    // Configuration.
    ConfigurationsAdopted,
    ConfigurationsRejected,
    SectionsFetched,
    SectionsUnreadable,
    WatchTakeovers,
    // Object store.
    StoreCalls,
    StoreFailures,
    StoreConflicts,
    Count,
};
constexpr size_t counterCount = static_cast<size_t>(Counter::Count);

/// One row of the counters' table.
struct CounterRow {
    Counter counter;
    std::string_view name;
    std::string_view help;
};

std::span<const CounterRow> counterTable();

/// The counts of one node. Each thread adds to a stripe of its own; a reading sums the stripes.
class Counters {
public:
    Counters();
    ~Counters();

    void add(Counter, uint64_t amount = 1);
    /// Counts a refusal given to a caller.
    void addRefusal(Reason);
    /// Counts a retry made because of this reason.
    void addRetry(Reason);

    uint64_t value(Counter) const;
    uint64_t refusals(Reason) const;
    uint64_t retries(Reason) const;

private:
    struct Stripes;
    std::unique_ptr<Stripes> m_stripes;
};

} // namespace Vanillaridge

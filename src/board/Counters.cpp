#include "board/Counters.h"

#include <atomic>

namespace Vanillaridge {

namespace {

    constexpr size_t stripeCount = 16;
    constexpr size_t slotCount = counterCount + 2 * reasonCount;
    constexpr size_t firstRefusal = counterCount;
    constexpr size_t firstRetry = counterCount + reasonCount;

    // One row for each counter, in the order of the enumeration.
    constexpr std::array<CounterRow, counterCount> counterRows { {
        { Counter::RequestsReceived, "requests_received", "requests read from callers and backend servers" },
        { Counter::RequestsServed, "requests_served", "requests answered whole by a backend server" },
        { Counter::RequestsRefused, "requests_refused", "requests that the system answered itself" },
        { Counter::RequestsCancelled, "requests_cancelled", "requests cancelled while they ran" },
        { Counter::CallsTraced, "calls_traced", "calls of backend servers whose request is known" },
        { Counter::CallsUntraced, "calls_untraced", "calls of backend servers with the rank of a likely request" },
        { Counter::RetriesSpent, "retries_spent", "further tries after the first" },
        { Counter::RetriesWithoutBudget, "retries_without_budget", "tries not made for lack of budget" },
        { Counter::VerdictsNotStarted, "verdicts_not_started", "verdicts that an attempt had not started" },
        { Counter::VerdictsStarted, "verdicts_started", "verdicts that an attempt had started" },
        { Counter::VerdictsUnknown, "verdicts_unknown", "attempts without a verdict" },
        { Counter::PeerMessagesSent, "peer_messages_sent", "messages sent to other nodes" },
        { Counter::PeerMessagesReceived, "peer_messages_received", "messages received from other nodes" },
        { Counter::PeerMessagesMalformed, "peer_messages_malformed",
            "messages dropped because they could not be read" },
        { Counter::PeerMessagesForged, "peer_messages_forged", "messages dropped because their MAC was wrong" },
        { Counter::PeerConnectionsOpened, "peer_connections_opened", "connections opened to other nodes" },
        { Counter::PeerConnectionsLost, "peer_connections_lost", "connections to other nodes that failed" },
        { Counter::ControlBytesSent, "control_bytes_sent", "bytes of datagrams sent to other nodes" },
        { Counter::ControlBytesReceived, "control_bytes_received", "bytes of datagrams received from other nodes" },
        { Counter::ConnectionsAccepted, "connections_accepted", "connections of callers accepted" },
        { Counter::ConnectionsDisplaced, "connections_displaced",
            "connections of callers accepted in place of idle ones" },
        { Counter::ConnectionsTurnedAway, "connections_turned_away",
            "connections of callers closed at once, since as many as are allowed were in use" },
        { Counter::AcceptsFailed, "accepts_failed", "connections of callers that could not be accepted" },
        { Counter::ConnectionsEndedForBuffers, "connections_ended_for_buffers",
            "connections ended since they held much and moved little while buffers were short" },
        { Counter::QuotaPulls, "quota_pulls", "requests for tokens sent to other nodes" },
        { Counter::QuotaTokensCreated, "quota_tokens_created", "tokens created by quota slots held here" },
        { Counter::QuotaTokensExpired, "quota_tokens_expired", "tokens that expired unused" },
        { Counter::QuotaTokensReturned, "quota_tokens_returned",
            "tokens of requests that did not run, back at slots held here" },
        { Counter::QuotaLeasesAcquired, "quota_leases_acquired", "quota slot leases acquired" },
        { Counter::QuotaLeasesLost, "quota_leases_lost", "quota slot leases that lapsed or were taken" },
        { Counter::QuotaRefusedOutOfTokens, "quota_refused_out_of_tokens", "requests for which no slot had a token" },
        { Counter::QuotaRefusedNoAnswer, "quota_refused_no_answer", "requests for which no slot's holder answered" },
        { Counter::QuotaRefusedQueueFull, "quota_refused_queue_full", "requests beyond those that may wait" },
        { Counter::QuotaRefusedNotDeclared, "quota_refused_not_declared", "requests of accounts without a rate" },
        { Counter::QuotaRefusedStopping, "quota_refused_stopping", "requests that waited when the node stopped" },
        { Counter::MembershipProbes, "membership_probes", "probes sent to other members" },
        { Counter::MembershipProbesFailed, "membership_probes_failed", "probes that got no answer" },
        { Counter::MembershipSuspicions, "membership_suspicions", "members suspected" },
        { Counter::MembershipDeaths, "membership_deaths", "members declared dead" },
        { Counter::ConfigurationsAdopted, "configurations_adopted", "configurations put in force" },
        { Counter::ConfigurationsRejected, "configurations_rejected", "configurations that failed their checks" },
        { Counter::SectionsFetched, "sections_fetched", "configuration sections fetched from other nodes" },
        { Counter::SectionsUnreadable, "sections_unreadable",
            "configurations that could not be read from the sections of other nodes" },
        { Counter::WatchTakeovers, "watch_takeovers", "times this node began to watch the store for silent watchers" },
        { Counter::StoreCalls, "store_calls", "calls to the object store" },
        { Counter::StoreFailures, "store_failures", "calls to the store that failed or timed out" },
        { Counter::StoreConflicts, "store_conflicts", "conditional updates that lost a race" },
    } };

    // Threads take stripes in turn, so that few of them share one.
    size_t stripeOfThread()
    {
        static std::atomic<size_t> s_nextStripe { 0 };
        thread_local const size_t s_stripe = s_nextStripe.fetch_add(1, std::memory_order_relaxed) % stripeCount;
        return s_stripe;
    }

} // namespace

struct Counters::Stripes {
    struct alignas(64) Stripe {
        std::array<std::atomic<uint64_t>, slotCount> counts {};
    };

    void add(size_t slot, uint64_t amount)
    {
        stripes[stripeOfThread()].counts[slot].fetch_add(amount, std::memory_order_relaxed);
    }

    uint64_t sum(size_t slot) const
    {
        uint64_t total = 0;
        for (const auto& stripe : stripes)
            total += stripe.counts[slot].load(std::memory_order_relaxed);
        return total;
    }

    std::array<Stripe, stripeCount> stripes;
};

std::span<const CounterRow> counterTable() { return counterRows; }

Counters::Counters()
    : m_stripes(std::make_unique<Stripes>())
{
}

Counters::~Counters() = default;

void Counters::add(Counter counter, uint64_t amount) { m_stripes->add(static_cast<size_t>(counter), amount); }

void Counters::addRefusal(Reason reason) { m_stripes->add(firstRefusal + static_cast<size_t>(reason), 1); }

void Counters::addRetry(Reason reason) { m_stripes->add(firstRetry + static_cast<size_t>(reason), 1); }

uint64_t Counters::value(Counter counter) const { return m_stripes->sum(static_cast<size_t>(counter)); }

uint64_t Counters::refusals(Reason reason) const { return m_stripes->sum(firstRefusal + static_cast<size_t>(reason)); }

uint64_t Counters::retries(Reason reason) const { return m_stripes->sum(firstRetry + static_cast<size_t>(reason)); }

} // namespace Vanillaridge

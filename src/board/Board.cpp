#include "board/Board.h"

#include <atomic>

namespace Vanillaridge {

void Outbox::post(Endpoint to, ControlMessage message)
{
    {
        std::lock_guard guard(m_lock);
        m_messages.push_back({ std::move(to), std::move(message) });
    }
    if (m_listener)
        m_listener();
}

std::vector<OutgoingMessage> Outbox::drain()
{
    std::lock_guard guard(m_lock);
    return std::exchange(m_messages, {});
}

void Outbox::onPost(Listener listener) { m_listener = std::move(listener); }

ConfigurationPointer ConfigurationFacts::inForce() const
{
    std::lock_guard guard(m_lock);
    return m_inForce;
}

bool ConfigurationFacts::adopt(ConfigurationPointer next)
{
    std::lock_guard guard(m_lock);
    if (m_inForce && m_inForce->number() >= next->number())
        return false;
    m_inForce = std::move(next);
    return true;
}

FreshnessRecord ConfigurationFacts::freshness() const
{
    std::lock_guard guard(m_lock);
    return m_freshness;
}

IntakeRecord IntakeFacts::record() const
{
    std::lock_guard guard(m_lock);
    return m_record;
}

struct Board::Facts {
    explicit Facts(Identity identity)
        : self(std::move(identity))
    {
    }

    const Identity self;
    Sharded<NodeId, MemberRecord> members;
    Sharded<ServiceName, ServerGroup> servers;
    Sharded<ServiceName, LocalServerRecord> localServers;
    Sharded<uint64_t, DepartureRecord> departures;
    Sharded<uint64_t, WitnessRecord> witnessed;
    Sharded<CostKey, CostRecord> costs;
    Sharded<FlowKey, ShedRecord> shedRecords;
    Sharded<RouteName, RouteCallsRecord> routeCalls;
    Sharded<RequestId, EntryRecord> entries;
    Sharded<AttemptId, AttemptRecord> attempts;
    Sharded<std::string, AttemptId> attemptsByLabel;
    Sharded<AttemptId, VerdictRecord> verdicts;
    Sharded<DuplicateKey, DuplicateRecord> duplicates;
    ConfigurationFacts configuration;
    IntakeFacts intake;
    Outbox outbox;
    Counters counters;
    std::atomic<bool> draining { false };
    std::atomic<Duration::rep> drainEnd { 0 };
    std::atomic<bool> refusesNewWork { false };
    std::atomic<Duration::rep> lag { 0 };
};

Board::Board(Identity identity)
    : m_facts(std::make_unique<Facts>(std::move(identity)))
{
}

Board::~Board() = default;

const Identity& Board::self() const { return m_facts->self; }

Sharded<NodeId, MemberRecord>& Board::members() { return m_facts->members; }

Sharded<ServiceName, ServerGroup>& Board::servers() { return m_facts->servers; }

Sharded<ServiceName, LocalServerRecord>& Board::localServers() { return m_facts->localServers; }

Sharded<uint64_t, DepartureRecord>& Board::departures() { return m_facts->departures; }
Sharded<uint64_t, WitnessRecord>& Board::witnessed() { return m_facts->witnessed; }

Sharded<CostKey, CostRecord>& Board::costs() { return m_facts->costs; }

Sharded<FlowKey, ShedRecord>& Board::shedRecords() { return m_facts->shedRecords; }

Sharded<RouteName, RouteCallsRecord>& Board::routeCalls() { return m_facts->routeCalls; }

Sharded<RequestId, EntryRecord>& Board::entries() { return m_facts->entries; }

Sharded<AttemptId, AttemptRecord>& Board::attempts() { return m_facts->attempts; }

Sharded<std::string, AttemptId>& Board::attemptsByLabel() { return m_facts->attemptsByLabel; }

Sharded<AttemptId, VerdictRecord>& Board::verdicts() { return m_facts->verdicts; }

Sharded<DuplicateKey, DuplicateRecord>& Board::duplicates() { return m_facts->duplicates; }

ConfigurationFacts& Board::configuration() { return m_facts->configuration; }
IntakeFacts& Board::intake() { return m_facts->intake; }

Outbox& Board::outbox() { return m_facts->outbox; }

Counters& Board::counters() { return m_facts->counters; }

bool Board::draining() const { return m_facts->draining.load(std::memory_order_relaxed); }

void Board::startDraining(Instant end)
{
    m_facts->drainEnd = end.time_since_epoch().count();
    m_facts->draining = true;
}

std::optional<Duration> Board::timeBeforeStop(Instant now) const
{
    // An answer that the backend server gives at its deadline has to reach the caller before the stop ends.
    constexpr Duration answerTime = milliseconds(200);
    if (!m_facts->draining)
        return std::nullopt;
    return Instant(Duration(m_facts->drainEnd)) - answerTime - now;
}

// In one order with the tables: what was put there before the store is seen after it, and what comes later is refused.
bool Board::refusesNewWork() const { return m_facts->refusesNewWork; }

void Board::startRefusingNewWork() { m_facts->refusesNewWork = true; }

Duration Board::lag() const { return Duration(m_facts->lag.load(std::memory_order_relaxed)); }

void Board::noteLag(Duration lag) { m_facts->lag.store(lag.count(), std::memory_order_relaxed); }

} // namespace Vanillaridge

#include "node/Duties.h"

#include "log/Log.h"

#include <malloc.h>

namespace Vanillaridge {

namespace {

    // Places in the arena, and how many of them are kept for threads that enter it. No more: oneTBB warns on standard
    // error about workers that one core cannot give.
    constexpr int arenaThreads = 1;
    constexpr unsigned keptPlaces = 1;
    constexpr Duration controllerPeriod = milliseconds(50);
    // How often the queue before a backend server is looked at while requests wait in it.
    constexpr Duration admissionPeriod = milliseconds(5);
    // Memories are swept, and the arena of each sweep is the whole table, so not at every tick.
    constexpr uint64_t ticksPerSweep = 20;
    // Memory is given back to the system once buffers have shrunk to a quarter of a peak of at least so many bytes.
    constexpr uint64_t leastPeakToTrim = 4 << 20;
    constexpr uint64_t trimShare = 4;

} // namespace

Duties::Duties(Parts& parts)
    : m_parts(parts)
    , m_arena(arenaThreads, keptPlaces)
{
    m_parts.control.waiters.onWaiting([this] { m_wake.notify_one(); });
}

Duties::~Duties() { stop(); }

void Duties::start()
{
    m_nextControllers = m_parts.clock.now();
    m_thread = std::thread([this] { run(); });
}

void Duties::stop()
{
    {
        std::lock_guard guard(m_lock);
        m_stopped = true;
    }
    m_wake.notify_one();
    if (m_thread.joinable())
        m_thread.join();
}

void Duties::run()
{
    while (awaitDue()) {
        m_arena.execute([this] {
            tickAdmission();
            if (m_parts.clock.now() >= m_nextControllers)
                tickControllers();
        });
    }
}

bool Duties::awaitDue()
{
    const auto period = m_parts.control.waiters.any() ? admissionPeriod : controllerPeriod;
    const auto due = std::max(Duration(0), std::min(period, m_nextControllers - m_parts.clock.now()));
    std::unique_lock guard(m_lock);
    if (!m_stopped && due > Duration(0))
        m_wake.wait_for(guard, due);
    return !m_stopped;
}

void Duties::tickControllers()
{
    auto& control = m_parts.control;
    m_nextControllers = m_parts.clock.now() + controllerPeriod;

    // 1. Who is there, and what they offer.
    for (const auto& service : control.localServers.expire())
        log(LogLevel::Warning, "backend-server-lapsed", { { "service", service } });
    for (const auto& service : control.localServers.dropDeparted())
        log(LogLevel::Warning, "backend-server-had-left", { { "service", service } });
    control.membership.tick();
    control.directory.tick();
    control.witness.tick();

    // 2. What is in force, and how fresh it is.
    control.freshness.tick();
    control.dissemination.tick();

    // 3. Tokens, and who may create them.
    control.quota.tick();
    control.membership.setQuotaSlots(control.quota.heldSlots());

    // 4. What need no longer be remembered.
    if (++m_ticks % ticksPerSweep == 0) {
        control.guardLedger.expire();
        control.duplicates.expire();
        trimMemory();
    }
    reportChanges();
}

// The allocator keeps what a flood of clients has made it take until it is told that little of it is in use.
void Duties::trimMemory()
{
    m_bufferPeak = std::max(m_bufferPeak, m_parts.buffers.takePeak());
    const auto held = m_parts.buffers.heldInAll();
    if (m_bufferPeak < leastPeakToTrim || held > m_bufferPeak / trimShare)
        return;
    m_bufferPeak = held;
    malloc_trim(0);
}

// Attempts in a queue before a backend server; none most of the time.
void Duties::tickAdmission()
{
    auto& control = m_parts.control;
    if (control.waiters.any())
        control.waiters.tell(control.admission.processQueues());
}

void Duties::reportChanges()
{
    const bool serving = m_parts.control.freshness.mayServeKeyed();
    if (serving != std::exchange(m_wasServing, serving))
        log(serving ? LogLevel::Info : LogLevel::Warning, serving ? "configuration-confirmed" : "configuration-stale");
    const bool watches = m_parts.control.dissemination.watching();
    if (watches != std::exchange(m_wasWatching, watches))
        log(LogLevel::Info, watches ? "store-watch-begun" : "store-watch-ended");
    const bool doubts = m_parts.control.membership.inDoubt();
    if (doubts != std::exchange(m_wasInDoubt, doubts))
        log(LogLevel::Warning, doubts ? "membership-in-doubt" : "membership-doubt-over",
            { { "live-members", m_parts.control.membership.liveMembers() } });
    reportIntake();
    auto slots = m_parts.control.quota.heldSlots();
    if (slots != m_heldSlots)
        log(LogLevel::Info, "quota-slots-held", { { "count", slots.size() } });
    m_heldSlots = std::move(slots);
}

// A flood is told by two lines, however many connections it brings.
void Duties::reportIntake()
{
    const auto& counters = m_parts.board.counters();
    const bool refuses = m_parts.control.intake.refuses();
    if (refuses != std::exchange(m_wasRefusingConnections, refuses))
        log(refuses ? LogLevel::Warning : LogLevel::Info, refuses ? "callers-not-accepted" : "callers-accepted-again",
            { { "accepted", counters.value(Counter::ConnectionsAccepted) },
                { "turned-away", counters.value(Counter::ConnectionsTurnedAway) },
                { "failed", counters.value(Counter::AcceptsFailed) },
                { "lag-ms", inMilliseconds(m_parts.board.lag()) } });
}

} // namespace Vanillaridge

#include "node/Duties.h"

#include "log/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Vanillaridge {

namespace {

    constexpr int arenaThreads = 2;
    constexpr Duration controllerPeriod = milliseconds(50);
    constexpr Duration admissionPeriod = milliseconds(5);
    // Memories are swept, and the arena of each sweep is the whole table, so not at every tick.
    constexpr uint64_t ticksPerSweep = 20;

} // namespace

Duties::Duties(Parts& parts)
    : m_parts(parts)
    , m_arena(arenaThreads, 0)
{
}

void Duties::start()
{
    boost::asio::co_spawn(m_parts.context, repeat(controllerPeriod, &Duties::tickControllers, m_controllersRunning),
        boost::asio::detached);
    boost::asio::co_spawn(
        m_parts.context, repeat(admissionPeriod, &Duties::tickAdmission, m_admissionRunning), boost::asio::detached);
}

void Duties::stop()
{
    m_stopped = true;
    m_arena.execute([this] { m_tasks.wait(); });
}

// A tick that takes longer than its period is not joined by another.
Task<void> Duties::repeat(Duration period, void (Duties::*tick)(), std::atomic<bool>& running)
{
    boost::asio::steady_timer timer(m_parts.context);
    while (!m_stopped) {
        timer.expires_after(period);
        boost::system::error_code error;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (m_stopped || running.exchange(true))
            continue;
        run(tick, running);
    }
}

void Duties::run(void (Duties::*tick)(), std::atomic<bool>& running)
{
    m_arena.execute([&] {
        m_tasks.run([this, tick, &running] {
            (this->*tick)();
            running = false;
        });
    });
}

void Duties::tickControllers()
{
    auto& control = m_parts.control;

    // 1. Who is there, and what they offer.
    for (const auto& service : control.localServers.expire())
        log(LogLevel::Warning, "backend-server-lapsed", { { "service", service } });
    control.membership.tick();
    control.directory.tick();

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
    }
    reportChanges();
}

// Attempts in a queue before a backend server; none most of the time.
void Duties::tickAdmission()
{
    auto& control = m_parts.control;
    if (control.waiters.any())
        control.waiters.tell(control.admission.settle());
}

void Duties::reportChanges()
{
    const bool serving = m_parts.control.freshness.mayServeKeyed();
    if (serving != std::exchange(m_wasServing, serving))
        log(serving ? LogLevel::Info : LogLevel::Warning, serving ? "configuration-confirmed" : "configuration-stale");
    auto slots = m_parts.control.quota.heldSlots();
    if (slots != m_heldSlots)
        log(LogLevel::Info, "quota-slots-held", { { "count", slots.size() } });
    m_heldSlots = std::move(slots);
}

} // namespace Vanillaridge

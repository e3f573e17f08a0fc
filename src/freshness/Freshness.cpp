#include "freshness/Freshness.h"

#include <atomic>

namespace Vanillaridge {

struct Freshness::State {
    State(Board& board, const Clock& clock, FreshnessSettings settings)
        : board(board)
        , clock(clock)
        , settings(settings)
    {
    }

    // Whether the record allows serving, apart from stalls since it was weighed.
    bool weigh(Instant now) const
    {
        const auto configuration = board.configuration().inForce();
        if (!configuration)
            return false;
        const auto record = board.configuration().freshness();
        // 1. A newer configuration that does not come into force may have withdrawn any key.
        if (record.behindSince != Instant() && now - record.behindSince > settings.behindLimit)
            return false;
        // 2. Confirmed since the latest pause, and not long ago.
        if (record.confirmedAt > record.resumedAt && now - record.confirmedAt <= configuration->policy().freshness)
            return true;
        // 3. Nobody within reach confirms anything: go on only with most of the fleet, and after having heard it.
        return record.viewRefreshed && record.reachableShare >= settings.reachableShare;
    }

    Board& board;
    const Clock& clock;
    const FreshnessSettings settings;
    std::atomic<Duration::rep> lastTick { 0 };
    std::atomic<bool> allowed { false };
};

Freshness::Freshness(Board& board, const Clock& clock, FreshnessSettings settings)
    : m_state(std::make_unique<State>(board, clock, settings))
{
}

Freshness::~Freshness() = default;

void Freshness::tick()
{
    const auto now = m_state->clock.now();
    const auto lastTick = Instant(Duration(m_state->lastTick.load(std::memory_order_acquire)));
    if (now - lastTick > m_state->settings.pauseLimit)
        m_state->board.configuration().updateFreshness([&](FreshnessRecord& record) {
            record.resumedAt = now;
            record.viewRefreshed = false;
        });
    m_state->allowed.store(m_state->weigh(now), std::memory_order_release);
    m_state->lastTick.store(now.time_since_epoch().count(), std::memory_order_release);
}

// The time is looked at last: a process that is stopped between the two reads finds itself stalled.
bool Freshness::mayServeKeyed() const
{
    const auto lastTick = m_state->lastTick.load(std::memory_order_acquire);
    const auto allowed = m_state->allowed.load(std::memory_order_acquire);
    const auto now = m_state->clock.now().time_since_epoch().count();
    return allowed && now - lastTick <= m_state->settings.pauseLimit.count();
}

Duration Freshness::age() const
{
    return m_state->clock.now() - m_state->board.configuration().freshness().confirmedAt;
}

} // namespace Vanillaridge

#include "quota/Bucket.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    // Slots that a requester asks in vain before it gives up for a while: what it missed here, it looks for there too.
    constexpr double slotsPerRound = 8;
    constexpr Duration shortestRetry = milliseconds(50);
    constexpr Duration longestRetry = seconds(2);

    double inSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

Bucket::Bucket(const QuotaPlan& plan, Instant start)
    : m_plan(plan)
    , m_at(start)
{
}

// The clock readings of two threads may reach the bucket out of order; it never goes back.
void Bucket::refill(Instant now)
{
    if (now <= m_at)
        return;
    const double passed = inSeconds(now - m_at);
    const double level = std::min(m_plan.slotCapacity, m_level + m_plan.slotRate * passed);
    m_created += std::max(0.0, level - m_level);
    m_level = level;
    m_backlog = std::max(0.0, m_backlog - m_plan.slotRate * passed);
    m_at = now;
}

void Bucket::adopt(const QuotaPlan& plan, Instant now)
{
    refill(now);
    const double advance = std::max(0.0, plan.slotRate - m_plan.slotRate) * inSeconds(m_plan.validity);
    m_plan = plan;
    m_level = std::min(m_level - advance, plan.slotCapacity);
}

void Bucket::emptyBefore(Instant start)
{
    if (m_at >= start)
        return;
    m_level = std::min(m_level, 0.0);
    m_at = start;
}

QuotaDraw Bucket::draw(double wanted, double least, Instant now)
{
    refill(now);
    QuotaDraw draw;
    draw.tokens = m_level >= least ? std::clamp(wanted, 0.0, std::max(0.0, m_level)) : 0;
    m_level -= draw.tokens;
    if (draw.tokens >= wanted)
        return draw;
    draw.left = std::max(0.0, m_level);
    const double missing = std::max(0.0, wanted - draw.tokens - draw.left);
    const double part = missing / std::min<double>(m_plan.slots, slotsPerRound);
    const double wait = (part + m_backlog - std::min(0.0, m_level)) / m_plan.slotRate;
    draw.retryAfter = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::clamp(wait, inSeconds(shortestRetry), inSeconds(longestRetry))));
    m_backlog += part;
    return draw;
}

} // namespace Vanillaridge

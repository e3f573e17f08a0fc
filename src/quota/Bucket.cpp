#include "quota/Bucket.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    // Slots that a requester asks in vain before it gives up for a while: what it missed here, it looks for there too.
    constexpr double slotsPerRound = 8;
    constexpr Duration shortestRetry = milliseconds(50);
    constexpr Duration longestRetry = seconds(2);

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
    while (!m_given.empty() && m_given.front().until <= now)
        m_given.pop_front();
    for (auto& given : m_given)
        given.peak = std::max(given.peak, m_level);
}

void Bucket::adopt(const QuotaPlan& plan, Instant now)
{
    refill(now);
    const double advance = std::max(0.0, plan.slotRate - m_plan.slotRate) * inSeconds(m_plan.validity);
    m_plan = plan;
    m_level = std::min(m_level - advance, plan.slotCapacity);
    m_given.clear();
}

void Bucket::emptyBefore(Instant start)
{
    if (m_at >= start)
        return;
    m_level = std::min(m_level, 0.0);
    m_at = start;
    m_given.clear();
}

QuotaDraw Bucket::draw(uint64_t pull, double wanted, double least, Instant now)
{
    refill(now);
    QuotaDraw draw;
    draw.tokens = m_level >= least ? std::clamp(wanted, 0.0, std::max(0.0, m_level)) : 0;
    m_level -= draw.tokens;
    if (draw.tokens > 0) {
        m_given.push_back({ pull, draw.tokens, 0, m_at + tokenReturnLife, m_level });
    }
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

double Bucket::giveBack(uint64_t pull, double total, Instant now)
{
    refill(now);
    const auto given = std::ranges::find(m_given, pull, &Given::pull);
    if (given == m_given.end() || !(total > given->returned))
        return 0;
    const double back = std::min(total, given->tokens) - given->returned;
    const double credit = std::clamp(m_plan.slotCapacity - given->peak, 0.0, std::max(0.0, back));
    given->returned = std::max(given->returned, std::min(total, given->tokens));
    m_level += credit;
    for (auto& other : m_given)
        other.peak += credit;
    return credit;
}

} // namespace Vanillaridge

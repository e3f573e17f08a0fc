// How much a pool is short of, and whom it asks.
#include "quota/Pools.h"

#include <algorithm>
#include <cmath>

namespace Vanillaridge {

namespace {

    // Demand that lasts is met ahead for this part of a token's life; pulls go out when less than the other is left.
    constexpr double aheadShare = 0.75;
    constexpr double lowWaterShare = 0.25;
    // Requests expected in a token's life from which pulling ahead pays.
    constexpr double leastAhead = 8;
    // Sources asked in vain before an account gives up for a while.
    constexpr uint32_t sourcesPerRound = 8;
    // A source that gave less than this part of what was wanted was asked in vain.
    constexpr double fairAnswer = 0.5;
    // When to ask again for a slot that nobody is known to hold.
    constexpr Duration unknownHolderRetry = milliseconds(500);

} // namespace

// Tokens that should be on their way and are not: those for waiting requests, and those for demand that lasts. An
// account whose sources run dry pulls for waiting requests only, so that nothing lies idle elsewhere.
double Pools::shortfall(const Pool& pool, Instant now) const
{
    const double here = pool.tokens() + pool.pulled();
    const double waiting = pool.waiting();
    const double expected
        = std::min(pool.demand.perSecond(), pool.plan.rate) * std::chrono::duration<double>(pool.plan.validity).count();
    const bool ahead = pool.plan.pullsAhead && expected >= leastAhead && !pool.misses && now >= pool.blockedUntil
        && here - waiting < expected * lowWaterShare;
    return waiting - here + (ahead ? expected * aheadShare : 0);
}

// Sends one pull, or draws from a slot of this node. While others are under way it only goes out for at least as much
// again, so that many requests at once cause few pulls.
bool Pools::pullOnce(Pool& pool, Instant now, Effects& effects)
{
    const double amount = shortfall(pool, now);
    if (now < pool.blockedUntil || amount < pool.pulled())
        return false;
    if (pool.plan.usesHome) {
        const auto home = directory()->home(pool.plan.accountHash);
        if (!home.empty())
            return pullFromHome(pool, home, amount, now, effects);
    }
    const auto source = nextSource(pool, now);
    return source && pullFromSlot(pool, *source, amount, now, effects);
}

bool Pools::pullFromHome(Pool& pool, const Endpoint& home, double amount, Instant now, Effects& effects)
{
    if (now < pool.notBefore.front())
        return false;
    send(pool, home, homeSlot, 0, amount, now, effects);
    return true;
}

// A slot gives no more than its capacity, so larger amounts go to several of them.
bool Pools::pullFromSlot(Pool& pool, uint32_t index, double amount, Instant now, Effects& effects)
{
    const double share = std::min(amount, std::max(1.0, pool.plan.slotCapacity));
    const auto slot = pool.plan.slotAt(index, m_settings.slots);
    pool.nextIndex = index;
    if (const auto draw = m_slots.draw(slot, pool.plan, share)) {
        addTokens(pool, draw->tokens, now + pool.plan.validity);
        noteResult(pool, index, share, *draw, now);
        return true;
    }
    const auto known = directory();
    const auto holders = slot < m_settings.slots ? known->holders(slot) : std::span<const Endpoint>();
    if (holders.empty()) {
        noteResult(pool, index, share, { 0, unknownHolderRetry }, now);
        return true;
    }
    send(pool, holders[m_random.below(holders.size())], slot, index, share, now, effects);
    return true;
}

void Pools::send(
    Pool& pool, const Endpoint& to, uint32_t slot, uint32_t index, double amount, Instant now, Effects& effects)
{
    const auto number = m_nextPull.fetch_add(1);
    pool.pulls.push_back({ number, index, amount, now });
    effects.messages.push_back({ to, QuotaPull { number, pool.account, slot, amount, pool.generation } });
    m_board.counters().add(Counter::QuotaPulls);
    if (!pool.listed) {
        pool.listed = true;
        effects.listAccount = true;
    }
}

// The source that was good last, or the next one in the ring that may be asked and has no pull under way.
std::optional<uint32_t> Pools::nextSource(Pool& pool, Instant now) const
{
    for (uint32_t step = 0; step < pool.plan.slots; ++step) {
        const uint32_t index = (pool.nextIndex + step) % pool.plan.slots;
        const bool asked = std::ranges::any_of(pool.pulls, [&](const Pull& pull) { return pull.index == index; });
        if (!asked && now >= pool.notBefore[index])
            return index;
    }
    return std::nullopt;
}

// Learns from an answer. A round of answers in vain ends the search for as long as the last one advises.
void Pools::noteResult(Pool& pool, uint32_t index, double wanted, const QuotaDraw& draw, Instant now)
{
    if (index >= pool.notBefore.size())
        return;
    pool.notBefore[index] = draw.tokens < wanted ? now + draw.retryAfter : now;
    if (draw.tokens >= wanted)
        pool.misses = 0;
    else if (draw.tokens < wanted * fairAnswer)
        ++pool.misses;
    if (pool.misses < std::min(pool.plan.slots, sourcesPerRound))
        return;
    pool.misses = 0;
    pool.blockedUntil = now + draw.retryAfter;
}

} // namespace Vanillaridge

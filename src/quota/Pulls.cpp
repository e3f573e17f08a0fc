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
    constexpr double leastAhead = 4;
    // Sources asked in vain before an account gives up for a while.
    constexpr uint32_t sourcesPerRound = 8;
    // A source that gave less than this part of what was wanted was asked in vain.
    constexpr double fairAnswer = 0.5;
    // When to look again for the holder of a slot that nobody is known to hold: a few times within the patience of a
    // request. It costs no message.
    constexpr Duration unknownHolderRetry = milliseconds(50);
    // Parts of a token below this are rounding.
    constexpr double negligible = 1e-6;

} // namespace

// Tokens that should be on their way and are not: those for waiting requests, and those for demand that lasts.
double Pools::shortfall(const Pool& pool) const
{
    const double here = pool.tokens() + pool.pulled();
    const double waiting = pool.waiting();
    const double expected
        = std::min(pool.demand.perSecond(), pool.plan.rate) * std::chrono::duration<double>(pool.plan.validity).count();
    const bool ahead = pool.plan.pullsAhead && expected >= leastAhead && here - waiting < expected * lowWaterShare;
    return waiting - here + (ahead ? expected * aheadShare : 0);
}

// Sends one pull, or draws from a slot of this node. While others are under way it only goes out for at least as much
// again, so that many requests at once cause few pulls.
bool Pools::pullOnce(Pool& pool, Instant now, Effects& effects)
{
    const double amount = shortfall(pool);
    if (amount <= negligible || now < pool.blockedUntil || amount < pool.pulled())
        return false;
    if (pool.plan.usesHome) {
        const auto home = directory()->home(pool.plan.accountHash);
        if (!home.empty())
            return pullFromHome(pool, home, amount, now, effects);
    }
    const auto source = nextSource(pool, now);
    if (!source)
        return false;
    // A slot gives no more than its capacity, so larger amounts go to several of them. Parts of a token are left where
    // they are until enough of them are known.
    const double share = std::min(amount, std::max(1.0, pool.plan.slotCapacity));
    return pullFromSlot(pool, *source, share, std::min(share, 1.0), now, effects);
}

bool Pools::pullFromHome(Pool& pool, const Endpoint& home, double amount, Instant now, Effects& effects)
{
    if (now < pool.sources.front().notBefore)
        return false;
    send(pool, home, homeSlot, { m_nextPull.fetch_add(1), 0, amount, now }, 0, effects);
    return true;
}

bool Pools::pullFromSlot(Pool& pool, uint32_t index, double amount, double least, Instant now, Effects& effects)
{
    const auto slot = pool.plan.slotAt(index, m_settings.slots);
    pool.nextIndex = (index + 1) % pool.plan.slots;
    const auto number = m_nextPull.fetch_add(1);
    if (const auto draw = m_slots.draw(slot, pool.plan, number, amount, least)) {
        addTokens(pool, { draw->tokens, now + pool.plan.validity, number, slot });
        noteResult(pool, index, amount, *draw, now);
        return true;
    }
    const auto holder = holderOf(slot);
    if (holder.empty())
        noteUnknownHolder(pool, index, now);
    else
        send(pool, holder, slot, { number, index, amount, now }, least, effects);
    return true;
}

// One of the members that say they hold the slot; empty if none does.
Endpoint Pools::holderOf(uint32_t slot)
{
    if (slot >= m_settings.slots)
        return {};
    const auto known = directory();
    const auto holders = known->holders(slot);
    return holders.empty() ? Endpoint() : holders[m_random.below(holders.size())];
}

void Pools::send(Pool& pool, const Endpoint& to, uint32_t slot, const Pull& pull, double least, Effects& effects)
{
    pool.pulls.push_back(pull);
    effects.messages.push_back(
        { to, QuotaPull { pull.number, pool.account, slot, pull.wanted, least, pool.generation } });
    m_board.counters().add(Counter::QuotaPulls);
    list(pool, effects);
}

// Fetches parts of tokens from several slots, once no slot has a whole one and they are known to add up to one.
bool Pools::collect(Pool& pool, Instant now, Effects& effects)
{
    if (pool.waiters.empty() || !pool.pulls.empty())
        return false;
    // A little more than is missing, so that the sum of the parts never rounds to less than a token.
    double missing = std::min(1.0, pool.waiting() - pool.tokens()) + negligible;
    double known = 0;
    for (const auto& source : pool.sources)
        known += source.left;
    if (known < missing)
        return false;
    // What is left then has to grow to a token again.
    const double wait = std::max(0.0, 1 + missing - known) / pool.plan.rate;
    block(pool, now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)));
    for (uint32_t index = 0; index < pool.sources.size() && missing > 0; ++index) {
        const double part = std::min(missing, std::exchange(pool.sources[index].left, 0));
        if (part <= 0)
            continue;
        missing -= part;
        pullFromSlot(pool, index, part, 0, now, effects);
    }
    return true;
}

// The next source in the ring that may be asked and has no pull under way. Taking turns keeps the slots level.
std::optional<uint32_t> Pools::nextSource(const Pool& pool, Instant now) const
{
    for (uint32_t step = 0; step < pool.plan.slots; ++step) {
        const uint32_t index = (pool.nextIndex + step) % pool.plan.slots;
        const bool asked = std::ranges::any_of(pool.pulls, [&](const Pull& pull) { return pull.index == index; });
        if (!asked && now >= pool.sources[index].notBefore)
            return index;
    }
    return std::nullopt;
}

// Learns from an answer. A round of answers in vain ends the search until the soonest of the times that they advise;
// then all sources may be asked again, since what each has left may add up to a token.
void Pools::noteResult(Pool& pool, uint32_t index, double wanted, const QuotaDraw& draw, Instant now)
{
    if (index >= pool.sources.size())
        return;
    const bool enough = draw.tokens >= wanted;
    pool.sources[index] = { enough ? now : now + draw.retryAfter, enough ? 0 : draw.left };
    if (enough) {
        pool.misses = 0;
        pool.answeredInVain = false;
    } else if (draw.tokens < wanted * fairAnswer) {
        pool.answeredInVain = true;
        noteMiss(pool, now + draw.retryAfter, now);
    }
}

// Nobody is known to hold the slot: nothing is said of its tokens.
void Pools::noteUnknownHolder(Pool& pool, uint32_t index, Instant now)
{
    pool.sources[index] = { now + unknownHolderRetry, 0 };
    noteMiss(pool, now + unknownHolderRetry, now);
}

void Pools::noteMiss(Pool& pool, Instant until, Instant now)
{
    if (++pool.misses < std::min(pool.plan.slots, sourcesPerRound))
        return;
    pool.misses = 0;
    pool.outOfTokens = std::exchange(pool.answeredInVain, false);
    for (const auto& source : pool.sources) {
        if (source.notBefore > now)
            until = std::min(until, source.notBefore);
    }
    block(pool, until);
}

// Whether known sources said so. A request whose slots have no known holder waits for one instead: their holder may
// have been killed, or the member that holds them may not have been heard of yet.
bool Pools::isOutOfTokens(const Pool& pool, Instant now) { return now < pool.blockedUntil && pool.outOfTokens; }

// Asks nobody until then, and everybody from then on.
void Pools::block(Pool& pool, Instant until)
{
    pool.blockedUntil = until;
    for (auto& source : pool.sources)
        source.notBefore = std::min(source.notBefore, until);
}

} // namespace Vanillaridge

// Ends what took too long, and forgets what is at rest.
#include "quota/Pools.h"

#include <algorithm>
#include <cmath>

namespace Vanillaridge {

namespace {

    constexpr Duration sweepInterval = seconds(1);
    constexpr double forgottenDemand = 0.01;
    // Weight of a pull in the smoothed round trip, and by how many deviations a late one exceeds it.
    constexpr double roundTripSmoothing = 0.05;
    constexpr double lateDeviations = 4;

} // namespace

// Looks after the accounts that have something under way, and now and then after all.
void Pools::tick()
{
    const Instant now = m_clock.now();
    std::vector<AccountName> accounts;
    {
        std::lock_guard guard(m_lock);
        accounts.swap(m_listed);
    }
    for (const auto& account : accounts) {
        Effects effects;
        m_pools.visit(account, [&](Pool& pool) {
            pool.listed = false;
            endPulls(pool, now);
            hedgePulls(pool, now);
            expire(pool, now);
            endWaits(pool, now, effects);
            if (refresh(pool, account))
                settle(pool, now, effects);
            else
                refuseAll(pool, QuotaCause::NotDeclared, now, effects);
        });
        finish(account, effects);
    }
    sweep(now);
}

// Gives up pulls that were not answered.
void Pools::endPulls(Pool& pool, Instant now)
{
    std::erase_if(pool.pulls, [&](const Pull& pull) {
        if (now - pull.sentAt < m_settings.pullTimeout)
            return false;
        noteResult(pool, pull.index, pull.wanted, { 0, unreachableRetry, 0 }, now);
        return true;
    });
}

// What a source does not answer in time is asked of the next one; tokens that come late all the same are welcome. Only
// the end of the pull says that the source cannot be reached: its node, or this one, may be slow.
void Pools::hedgePulls(Pool& pool, Instant now)
{
    const auto patience = hedgeAfter();
    for (auto& pull : pool.pulls)
        pull.late = pull.late || now - pull.sentAt >= patience;
}

void Pools::noteRoundTrip(Duration time)
{
    std::lock_guard guard(m_lock);
    const double seen = double(time.count());
    if (m_roundTrip <= 0)
        m_roundTrip = seen;
    m_roundTripDeviation += roundTripSmoothing * (std::abs(seen - m_roundTrip) - m_roundTripDeviation);
    m_roundTrip += roundTripSmoothing * (seen - m_roundTrip);
}

// What was asked twice is drawn twice, and half of it expires: so a pull must be late by what pulls take here of late,
// which grows with the lag of the nodes.
Duration Pools::hedgeAfter()
{
    std::lock_guard guard(m_lock);
    const Duration usual(static_cast<Duration::rep>(m_roundTrip + lateDeviations * m_roundTripDeviation));
    return std::clamp(usual, m_settings.pullHedge, std::max(m_settings.pullHedge, m_settings.pullTimeout));
}

void Pools::endWaits(Pool& pool, Instant now, Effects& effects)
{
    std::erase_if(pool.waiters, [&](Waiter& waiter) {
        if (now < waiter.until)
            return false;
        refuse(pool, waiter, QuotaCause::NoAnswer, now, effects);
        return true;
    });
}

// Forgets accounts that are at rest.
void Pools::sweep(Instant now)
{
    if (m_sweptAt != Instant::min() && now - m_sweptAt < sweepInterval)
        return;
    m_sweptAt = now;
    m_pools.forEach([&](const AccountName&, Pool& pool) {
        expire(pool, now);
        pool.demand.add(0, now);
    });
    m_pools.eraseIf([&](const AccountName&, const Pool& pool) {
        const bool busy = !pool.pulls.empty() || !pool.waiters.empty() || !pool.batches.empty();
        return !busy && now >= pool.blockedUntil && pool.demand.slow < forgottenDemand;
    });
}

void Pools::refuseWaiting()
{
    Effects effects;
    m_pools.forEach(
        [&](const AccountName&, Pool& pool) { refuseAll(pool, QuotaCause::Stopping, m_clock.now(), effects); });
    finish({}, effects);
}

std::vector<QuotaAccountStatus> Pools::status()
{
    std::vector<QuotaAccountStatus> accounts;
    m_pools.forEach([&](const AccountName& name, const Pool& pool) {
        accounts.push_back({ name, pool.tokens(), pool.demand.perSecond(), pool.waiters.size() });
    });
    std::ranges::sort(accounts, {}, &QuotaAccountStatus::account);
    return accounts;
}

} // namespace Vanillaridge

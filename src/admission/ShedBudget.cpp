#include "admission/ShedBudget.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Vanillaridge {

namespace {

    // EWMA time constants. Rank totals and the served rate use the shortest one that collects enough samples; the
    // shares of accounts have fewer samples and use the slow one.
    constexpr double shortestTimeConstant = 0.2; // seconds
    constexpr double longestTimeConstant = 1.0; // seconds
    constexpr double samplesNeeded = 50;
    // Hysteresis: a rank that is not yet shed stays so until its demand exceeds the remaining budget by this factor.
    constexpr double cutoffMargin = 1.2;
    constexpr double accountTimeConstant = 1.0; // seconds
    // Time to bring the queue to its target length; the service time if that is longer.
    constexpr double queueHorizon = 0.2; // seconds
    // Target queue length and the length that starts shedding, as shares of the queue's capacity.
    constexpr double queueTarget = 0.25;
    constexpr double queueSheddingStart = 0.5;
    constexpr uint32_t updatesBeforeShedding = 2;
    // Shedding stops when the budget exceeds demand by this factor.
    constexpr double stopSheddingFactor = 1.2;
    // Lower bound of the budget, as a share of the served rate.
    constexpr double minimumBudgetShare = 0.8;
    // Maximum passes of water filling; each satisfies the accounts whose rate is below the level.
    constexpr int maximumFairRatePasses = 12;
    // Idle accounts are removed: updates between two sweeps, and the rate below which an account is idle.
    constexpr uint32_t updatesPerSweep = 256;
    constexpr double idleRate = 1e-3; // requests per second

    double ewmaWeight(double elapsed, double timeConstant) { return 1 - std::exp(-elapsed / timeConstant); }

    // Low rates are averaged over a longer time, so that noise does not move the cutoff rank.
    double timeConstantFor(double rate)
    {
        return std::clamp(samplesNeeded / std::max(rate, 1.0), shortestTimeConstant, longestTimeConstant);
    }

} // namespace

// Rows in the order of OverloadPolicy.
const std::array<ShedBudget::PolicyRow, 2> ShedBudget::policies { {
    { &ShedBudget::maxMinFairRate, &ShedBudget::fairAdmittedShare, &ShedBudget::fairSortKey, 1.3 },
    { &ShedBudget::uniformShare, &ShedBudget::uniformAdmittedShare, &ShedBudget::hashSortKey, 1.5 },
} };

void ShedBudget::setPolicy(OverloadPolicy policy) { m_policy = &policies[static_cast<size_t>(policy)]; }

void ShedBudget::recordOffered(Rank rank, std::string_view account, double represents)
{
    auto found = m_accounts.find(account);
    if (found == m_accounts.end())
        found = m_accounts.emplace(account, Account {}).first;
    found->second.offered[indexOf(rank)] += represents;
}

void ShedBudget::update(const Observation& observation)
{
    const double elapsed = std::chrono::duration<double>(observation.elapsed).count();
    if (elapsed <= 0)
        return;
    updateDemand(elapsed);
    updateBudget(observation, elapsed);
    updateCutoff();
}

// Rank totals adapt fast; the shares of accounts adapt slowly, because each account has few samples.
void ShedBudget::updateDemand(double elapsed)
{
    const double slow = ewmaWeight(elapsed, accountTimeConstant);
    ByRank offered {};
    for (auto& [name, account] : m_accounts) {
        for (size_t i = 0; i < rankCount; ++i) {
            offered[i] += account.offered[i];
            account.rate[i] += slow * (account.offered[i] / elapsed - account.rate[i]);
        }
        account.offered = {};
    }
    for (size_t i = 0; i < rankCount; ++i) {
        m_demand[i] += ewmaWeight(elapsed, timeConstantFor(m_demand[i])) * (offered[i] / elapsed - m_demand[i]);
        m_slowDemand[i] += slow * (offered[i] / elapsed - m_slowDemand[i]);
    }
    if (++m_updates % updatesPerSweep == 0) {
        std::erase_if(m_accounts, [](const auto& entry) {
            const auto& rate = entry.second.rate;
            return std::accumulate(rate.begin(), rate.end(), 0.0) < idleRate;
        });
    }
}

// While saturated, the served rate is the capacity of the backend server, and the budget steers the queue to its target
// length. Otherwise the budget grows until it no longer limits the demand.
void ShedBudget::updateBudget(const Observation& observation, double elapsed)
{
    // 1. Update the served rate.
    m_servedRate
        += ewmaWeight(elapsed, timeConstantFor(m_servedRate)) * (observation.completions / elapsed - m_servedRate);
    const double demand = std::accumulate(m_demand.begin(), m_demand.end(), 0.0);
    const double waiting = static_cast<double>(observation.waiting);

    // 2. Start shedding once the queue has been long for several updates.
    if (!m_shedding) {
        const bool isLong = observation.overflowed || waiting > queueSheddingStart * observation.queueCapacity;
        m_overflowingUpdates = isLong && observation.saturated ? m_overflowingUpdates + 1 : 0;
        if (m_overflowingUpdates < updatesBeforeShedding)
            return;
        m_shedding = true;
        m_budget = m_servedRate;
    }

    // 3. Update the budget.
    if (observation.saturated) {
        const double horizon = std::max(queueHorizon, std::chrono::duration<double>(observation.serviceTime).count());
        const double correction = (queueTarget * observation.queueCapacity - waiting) / horizon;
        m_budget = std::max(m_servedRate + correction, minimumBudgetShare * m_servedRate);
    } else {
        m_budget = std::max(m_budget, m_servedRate) * std::pow(m_policy->recovery, elapsed / 0.05) + 1;
    }

    // 4. Stop shedding.
    if (!observation.saturated && m_budget > stopSheddingFactor * demand) {
        m_shedding = false;
        m_overflowingUpdates = 0;
    }
}

void ShedBudget::updateCutoff()
{
    const size_t previousCutoff = std::exchange(m_cutoffRank, rankCount);
    m_cutoffAdmittedShare = 1;
    if (!m_shedding)
        return;
    double remaining = m_budget;
    for (size_t i = 0; i < rankCount; ++i) {
        const double margin = i < previousCutoff ? cutoffMargin : 1;
        if (m_demand[i] > margin * remaining) {
            m_cutoffRank = i;
            m_cutoffAdmittedShare = std::clamp(remaining / m_demand[i], 0.0, 1.0);
            m_cutoffShare = (this->*m_policy->divide)(remaining);
            return;
        }
        remaining = std::max(0.0, remaining - m_demand[i]);
    }
}

// The account's slowly adapting share of the rank, scaled to the rank's fast total.
double ShedBudget::rateOf(const Account& account, size_t rank) const
{
    if (m_slowDemand[rank] <= 0)
        return 0;
    return account.rate[rank] * m_demand[rank] / m_slowDemand[rank];
}

// Max-min fairness: the rate to which accounts are limited so that the budget is just used up.
double ShedBudget::maxMinFairRate(double budget) const
{
    double level = 0;
    double remaining = budget;
    double unsatisfied = static_cast<double>(m_accounts.size());
    for (int pass = 0; pass < maximumFairRatePasses && unsatisfied > 0; ++pass) {
        const double next = remaining / unsatisfied;
        if (pass > 0 && next <= level * 1.0001)
            break;
        level = next;
        remaining = budget;
        unsatisfied = 0;
        for (const auto& [name, account] : m_accounts) {
            const double rate = rateOf(account, m_cutoffRank);
            if (rate <= level)
                remaining -= rate;
            else
                unsatisfied += 1;
        }
    }
    return level;
}

double ShedBudget::uniformShare(double budget) const { return budget / std::max(m_demand[m_cutoffRank], 1e-9); }

double ShedBudget::fairAdmittedShare(const Account& account) const
{
    const double rate = rateOf(account, m_cutoffRank);
    return rate <= m_cutoffShare ? 1 : m_cutoffShare / rate;
}

double ShedBudget::uniformAdmittedShare(const Account&) const { return std::min(1.0, m_cutoffShare); }

// Spreads an account's requests evenly up to its rate, so that any cutoff sheds the largest accounts first.
double ShedBudget::fairSortKey(double rate, double hashUnit) const { return rate * hashUnit; }

double ShedBudget::hashSortKey(double, double hashUnit) const { return hashUnit; }

double ShedBudget::level(std::string_view account) const
{
    if (m_cutoffRank == rankCount)
        return 0;
    const double below = double(rankCount - 1 - m_cutoffRank);
    const auto found = m_accounts.find(account);
    return below + 1 - (found == m_accounts.end() ? 1.0 : (this->*m_policy->admittedShare)(found->second));
}

double ShedBudget::level() const
{
    if (m_cutoffRank == rankCount)
        return 0;
    return double(rankCount - 1 - m_cutoffRank) + 1 - m_cutoffAdmittedShare;
}

double ShedBudget::sortKey(Rank rank, std::string_view account, uint64_t treeHash) const
{
    const auto found = m_accounts.find(account);
    const double rate = found == m_accounts.end() ? 0 : rateOf(found->second, indexOf(rank));
    return (this->*m_policy->sortKey)(rate, unitOfHash(treeHash));
}

} // namespace Vanillaridge

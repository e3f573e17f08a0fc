#include "quota/Pools.h"

#include <algorithm>
#include <cmath>

namespace Vanillaridge {

namespace {

    // Time constants of the smoothed demand.
    constexpr Duration fastSmoothing = milliseconds(500);
    constexpr Duration slowSmoothing = seconds(4);
    // Requests of one account that may wait at one node.
    constexpr size_t longestQueue = 4096;
    // Part of the patience for which a home keeps another node's pull.
    constexpr int homePatienceDivisor = 2;
    // When to ask again a source that did not answer, or that is not known.
    constexpr Duration unreachableRetry = seconds(1);
    constexpr Duration shortestRetry = milliseconds(1);
    constexpr double retryJitter = 0.1;
    constexpr Duration sweepInterval = seconds(1);
    constexpr double forgottenDemand = 0.01;
    // Shares of a token below this are rounding.
    constexpr double negligible = 1e-6;
    constexpr double largestPull = 1e6;

    double inSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

void Pools::Demand::add(double requests, Instant now)
{
    if (at != Instant::min() && now > at) {
        const double step = inSeconds(now - at);
        fast *= std::exp(-step / inSeconds(fastSmoothing));
        slow *= std::exp(-step / inSeconds(slowSmoothing));
    }
    at = std::max(at, now);
    fast += requests / inSeconds(fastSmoothing);
    slow += requests / inSeconds(slowSmoothing);
}

double Pools::Pool::tokens() const
{
    double sum = 0;
    for (const auto& batch : batches)
        sum += batch.tokens;
    return sum;
}

double Pools::Pool::pulled() const
{
    double sum = 0;
    for (const auto& pull : pulls)
        sum += pull.wanted;
    return sum;
}

double Pools::Pool::waiting() const
{
    double sum = 0;
    for (const auto& waiter : waiters)
        sum += waiter.wanted;
    return sum;
}

Pools::Pools(Board& board, Clock& clock, RandomSource& random, const QuotaSettings& settings, Slots& slots)
    : m_board(board)
    , m_clock(clock)
    , m_random(random)
    , m_settings(settings)
    , m_slots(slots)
    , m_nextPull(random.next())
{
}

void Pools::adopt(PlansPointer plans, DirectoryPointer directory)
{
    std::lock_guard guard(m_lock);
    m_plans = std::move(plans);
    m_directory = std::move(directory);
    m_generation = m_plans ? m_plans->generation : 0;
}

Pools::PlansPointer Pools::plans()
{
    std::lock_guard guard(m_lock);
    return m_plans;
}

Pools::DirectoryPointer Pools::directory()
{
    std::lock_guard guard(m_lock);
    return m_directory;
}

// Runs `use(Pool&)` on the pool of an account that is declared; tells whether it is.
template <typename Use> bool Pools::withPool(const AccountName& account, Use&& use)
{
    return m_pools.with(account, [&](auto& map) {
        const auto [found, created] = map.try_emplace(account);
        if (!refresh(found->second, account)) {
            if (created)
                map.erase(found);
            return false;
        }
        use(found->second);
        return true;
    });
}

// Brings the pool's plan up to the configuration in force; false if the account is not declared.
bool Pools::refresh(Pool& pool, const AccountName& account)
{
    if (pool.generation && pool.generation == m_generation.load())
        return true;
    const auto current = plans();
    const auto* plan = current ? current->find(account) : nullptr;
    if (!plan)
        return false;
    pool.account = account;
    pool.plan = *plan;
    pool.generation = current->generation;
    pool.notBefore.resize(plan->slots, Instant::min());
    if (!pool.nextIndex)
        pool.nextIndex = static_cast<uint32_t>(mixHash(m_board.self().id().value, plan->accountHash) % plan->slots);
    return true;
}

// --- Requests of this node ------------------------------------------------------------------------------------------

QuotaDecision Pools::take(std::string_view account, QuotaCallback whenDecided)
{
    const AccountName name(account);
    Effects effects;
    QuotaDecision decision { QuotaAnswer::Refused, unreachableRetry, {} };
    withPool(name, [&](Pool& pool) { decision = takeFrom(pool, std::move(whenDecided), effects); });
    finish(name, effects);
    return decision;
}

QuotaDecision Pools::takeFrom(Pool& pool, QuotaCallback&& whenDecided, Effects& effects)
{
    const Instant now = m_clock.now();
    expire(pool, now);
    pool.demand.add(1, now);
    if (pool.waiters.empty()) {
        // The clock is read again after the token is gone: it must still have been valid then.
        if (const auto expires = spend(pool, 1); expires && m_clock.now() < *expires) {
            while (shortfall(pool, now) > negligible && pullOnce(pool, now, effects)) { }
            return { QuotaAnswer::Admitted, {}, *expires };
        }
    }
    if (pool.waiters.size() >= longestQueue)
        return { QuotaAnswer::Refused, retryAfter(pool, now), {} };
    return queue(pool, std::move(whenDecided), now, effects);
}

// Lets the request wait for tokens, unless they are there at once, or none can be had.
QuotaDecision Pools::queue(Pool& pool, QuotaCallback&& whenDecided, Instant now, Effects& effects)
{
    QuotaDecision decision { QuotaAnswer::Pending, {}, {} };
    const bool mayWait = static_cast<bool>(whenDecided);
    pool.waiters.push_back({ 1, now + m_settings.patience, &decision, std::move(whenDecided), {}, 0 });
    settle(pool, now, effects);
    if (decision.answer != QuotaAnswer::Pending)
        return decision;
    const bool hopeless = pool.waiting() > pool.tokens() + pool.pulled() && now < pool.blockedUntil;
    if (!mayWait || hopeless) {
        pool.waiters.pop_back();
        return { QuotaAnswer::Refused, retryAfter(pool, now), {} };
    }
    pool.waiters.back().immediate = nullptr;
    return decision;
}

void Pools::giveBack(std::string_view account, const QuotaDecision& decision)
{
    const AccountName name(account);
    Effects effects;
    withPool(name, [&](Pool& pool) {
        const Instant now = m_clock.now();
        if (decision.answer != QuotaAnswer::Admitted || decision.expires <= now)
            return;
        addTokens(pool, 1, decision.expires);
        settle(pool, now, effects);
    });
    finish(name, effects);
}

// --- Pulls and grants -----------------------------------------------------------------------------------------------

void Pools::receive(const Endpoint& from, const QuotaPull& pull)
{
    if (!(pull.wanted > 0) || pull.wanted > largestPull)
        return;
    if (pull.slot != homeSlot) {
        const auto current = plans();
        const auto* plan = current ? current->find(pull.account) : nullptr;
        const auto draw = plan ? m_slots.draw(pull.slot, *plan, pull.wanted) : std::nullopt;
        QuotaGrant grant { pull.pull, pull.account, 0, {}, unreachableRetry };
        if (draw)
            grant = { pull.pull, pull.account, draw->tokens, plan->validity, draw->retryAfter };
        m_board.outbox().post(from, grant);
        return;
    }
    Effects effects;
    const bool known = withPool(pull.account, [&](Pool& pool) {
        const Instant now = m_clock.now();
        expire(pool, now);
        pool.demand.add(pull.wanted, now);
        const Instant until = now + m_settings.patience / homePatienceDivisor;
        pool.waiters.push_back({ pull.wanted, until, nullptr, {}, from, pull.pull });
        settle(pool, now, effects);
    });
    if (!known)
        effects.messages.push_back({ from, QuotaGrant { pull.pull, pull.account, 0, {}, unreachableRetry } });
    finish(pull.account, effects);
}

void Pools::receive(const QuotaGrant& grant)
{
    Effects effects;
    withPool(grant.account, [&](Pool& pool) {
        const Instant now = m_clock.now();
        const auto pull = std::ranges::find(pool.pulls, grant.pull, &Pull::number);
        if (pull == pool.pulls.end() || !(grant.tokens >= 0))
            return;
        const double tokens = std::min(grant.tokens, pull->wanted);
        addTokens(pool, tokens, pull->sentAt + std::min(grant.lifetime, m_settings.tokenValidity));
        const Pull answered = *pull;
        pool.pulls.erase(pull);
        noteResult(pool, answered.index, answered.wanted, { tokens, grant.retryAfter }, now);
        expire(pool, now);
        settle(pool, now, effects);
    });
    finish(grant.account, effects);
}

// --- Waiting requests -----------------------------------------------------------------------------------------------

// Serves those who wait, pulls what is missing, and refuses the rest if nothing more can come.
void Pools::settle(Pool& pool, Instant now, Effects& effects)
{
    do {
        while (!pool.waiters.empty() && serveFirst(pool, now, effects))
            pool.waiters.pop_front();
    } while (shortfall(pool, now) > negligible && pullOnce(pool, now, effects));
    if (pool.pulls.empty())
        refuseAll(pool, now, effects);
    if (!pool.listed && (!pool.pulls.empty() || !pool.waiters.empty())) {
        pool.listed = true;
        effects.listAccount = true;
    }
}

// Gives the first in line its tokens, if they are there.
bool Pools::serveFirst(Pool& pool, Instant now, Effects& effects)
{
    auto& first = pool.waiters.front();
    const bool remote = !first.from.empty();
    const double amount = remote ? std::min(first.wanted, pool.tokens()) : 1;
    if (amount < std::min(first.wanted, 1.0))
        return false;
    const auto expires = spend(pool, amount);
    const Instant spentAt = m_clock.now();
    if (!expires || spentAt >= *expires)
        return false;
    if (remote) {
        const auto wait = amount < first.wanted ? retryAfter(pool, now) : Duration(0);
        effects.messages.push_back(
            { first.from, QuotaGrant { first.pull, pool.account, amount, *expires - spentAt, wait } });
    } else
        decide(first, { QuotaAnswer::Admitted, {}, *expires }, effects);
    return true;
}

void Pools::decide(Waiter& waiter, const QuotaDecision& decision, Effects& effects)
{
    if (waiter.immediate)
        *waiter.immediate = decision;
    else if (waiter.callback)
        effects.decisions.emplace_back(std::move(waiter.callback), decision);
}

void Pools::refuse(Pool& pool, Waiter& waiter, Instant now, Effects& effects)
{
    const auto wait = retryAfter(pool, now);
    if (!waiter.from.empty())
        effects.messages.push_back({ waiter.from, QuotaGrant { waiter.pull, pool.account, 0, {}, wait } });
    else
        decide(waiter, { QuotaAnswer::Refused, wait, {} }, effects);
}

void Pools::refuseAll(Pool& pool, Instant now, Effects& effects)
{
    for (auto& waiter : pool.waiters)
        refuse(pool, waiter, now, effects);
    pool.waiters.clear();
}

// When a token is likely to be there: as soon as the first source may be asked again.
Duration Pools::retryAfter(const Pool& pool, Instant now)
{
    Instant soonest = now + unreachableRetry;
    for (const auto instant : pool.notBefore)
        soonest = std::min(soonest, instant);
    const auto wait = std::max({ soonest - now, pool.blockedUntil - now, shortestRetry });
    return wait + m_random.jittered(wait, 1.0) / static_cast<int>(1 / retryJitter);
}

// --- Tokens ---------------------------------------------------------------------------------------------------------

void Pools::addTokens(Pool& pool, double tokens, Instant expires)
{
    if (tokens <= 0)
        return;
    const auto place = std::ranges::upper_bound(pool.batches, expires, {}, &Batch::expires);
    pool.batches.insert(place, { tokens, expires });
}

// Takes tokens, the soonest to expire first; tells when the first of them expires. Nothing if there are too few.
std::optional<Instant> Pools::spend(Pool& pool, double tokens)
{
    if (pool.batches.empty() || pool.tokens() < tokens)
        return std::nullopt;
    const Instant expires = pool.batches.front().expires;
    auto batch = pool.batches.begin();
    while (batch != pool.batches.end() && batch->tokens <= tokens) {
        tokens -= batch->tokens;
        ++batch;
    }
    if (batch != pool.batches.end())
        batch->tokens -= tokens;
    pool.batches.erase(pool.batches.begin(), batch);
    return expires;
}

void Pools::expire(Pool& pool, Instant now)
{
    if (pool.batches.empty() || now < pool.batches.front().expires)
        return;
    const auto valid = std::ranges::upper_bound(pool.batches, now, {}, &Batch::expires);
    double lost = 0;
    for (auto batch = pool.batches.begin(); batch != valid; ++batch)
        lost += batch->tokens;
    pool.batches.erase(pool.batches.begin(), valid);
    m_board.counters().add(Counter::QuotaTokensExpired, static_cast<uint64_t>(std::llround(lost)));
}

// --- Upkeep ---------------------------------------------------------------------------------------------------------

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
            expire(pool, now);
            endWaits(pool, now, effects);
            if (refresh(pool, account))
                settle(pool, now, effects);
            else
                refuseAll(pool, now, effects);
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
        noteResult(pool, pull.index, pull.wanted, { 0, unreachableRetry }, now);
        return true;
    });
}

void Pools::endWaits(Pool& pool, Instant now, Effects& effects)
{
    std::erase_if(pool.waiters, [&](Waiter& waiter) {
        if (now < waiter.until)
            return false;
        refuse(pool, waiter, now, effects);
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
    m_pools.forEach([&](const AccountName&, Pool& pool) { refuseAll(pool, m_clock.now(), effects); });
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

// Sends and calls what was decided, outside any lock.
void Pools::finish(const AccountName& account, Effects& effects)
{
    if (effects.listAccount) {
        std::lock_guard guard(m_lock);
        m_listed.push_back(account);
    }
    for (auto& message : effects.messages)
        m_board.outbox().post(std::move(message.to), std::move(message.message));
    for (auto& [callback, decision] : effects.decisions)
        callback(decision);
}

} // namespace Vanillaridge

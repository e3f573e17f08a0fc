#include "quota/Pools.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    // Requests of one account that may wait at one node.
    constexpr size_t longestQueue = 4096;
    // Part of the patience for which a home keeps another node's pull.
    constexpr int homePatienceDivisor = 2;
    constexpr Duration shortestRetry = milliseconds(1);
    constexpr double retryJitter = 0.1;
    constexpr double largestPull = 1e6;
    // Longer than a slot takes tokens back.
    constexpr Duration returnMemory = seconds(2);

    Counter counterOf(QuotaCause cause)
    {
        constexpr std::array<Counter, static_cast<size_t>(QuotaCause::Count)> counters {
            Counter::QuotaRefusedOutOfTokens, Counter::QuotaRefusedOutOfTokens, Counter::QuotaRefusedNoAnswer,
            Counter::QuotaRefusedQueueFull, Counter::QuotaRefusedNotDeclared, Counter::QuotaRefusedStopping
        };
        return counters[static_cast<size_t>(cause)];
    }

} // namespace

Pools::Pools(Board& board, Clock& clock, RandomSource& random, const QuotaSettings& settings, Slots& slots)
    : m_board(board)
    , m_clock(clock)
    , m_random(random)
    , m_settings(settings)
    , m_slots(slots)
    , m_nextPull(random.next())
{
}

void Pools::adopt(PlansPointer plans, HolderDirectoryPointer directory)
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

Pools::HolderDirectoryPointer Pools::directory()
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
    pool.sources.resize(plan->slots);
    pool.nextIndex = static_cast<uint32_t>(mixHash(m_board.self().id().value, plan->accountHash) % plan->slots);
    return true;
}

// --- Requests of this node ------------------------------------------------------------------------------------------

QuotaDecision Pools::take(std::string_view account, QuotaCallback whenDecided)
{
    const AccountName name(account);
    Effects effects;
    QuotaDecision decision { QuotaAnswer::Refused, unreachableRetry, {}, { .cause = QuotaCause::NotDeclared } };
    if (!withPool(name, [&](Pool& pool) { decision = takeFrom(pool, std::move(whenDecided), effects); }))
        m_board.counters().add(counterOf(QuotaCause::NotDeclared));
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
        if (const auto spent = spend(pool, 1); spent && m_clock.now() < spent->expires) {
            while (pullOnce(pool, now, effects)) { }
            return { QuotaAnswer::Admitted, {}, spent->expires, {}, spent->pull, spent->slot };
        }
    }
    if (pool.waiters.size() >= longestQueue)
        return refusal(pool, QuotaCause::QueueFull, now, now);
    return queue(pool, std::move(whenDecided), now, effects);
}

// Lets the request wait for tokens, unless they are there at once, or none can be had.
QuotaDecision Pools::queue(Pool& pool, QuotaCallback&& whenDecided, Instant now, Effects& effects)
{
    QuotaDecision decision { QuotaAnswer::Pending };
    const bool mayWait = static_cast<bool>(whenDecided);
    pool.waiters.push_back({ 1, now, now + m_settings.patience, &decision, std::move(whenDecided), {}, 0 });
    settle(pool, now, effects);
    if (decision.answer != QuotaAnswer::Pending)
        return decision;
    const bool hopeless = pool.waiting() > pool.tokens() + pool.pulled() && isOutOfTokens(pool, now);
    if (!mayWait || hopeless) {
        pool.waiters.pop_back();
        return refusal(pool, hopeless ? QuotaCause::OutOfTokens : QuotaCause::NoAnswer, now, now);
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
        if (decision.answer != QuotaAnswer::Admitted)
            return;
        const bool isUsedHere = !pool.waiters.empty() || expectsRequestBefore(pool, decision.expires, now);
        if (!isUsedHere && giveBackToSlot(pool, decision, now, effects))
            return;
        if (decision.expires <= now)
            return;
        addTokens(pool, { 1, decision.expires, decision.pull.value_or(0), decision.slot });
        settle(pool, now, effects);
    });
    finish(name, effects);
}

// Whether more requests are likely to come here before the token expires than there are tokens for.
bool Pools::expectsRequestBefore(const Pool& pool, Instant expires, Instant now)
{
    const double left = std::chrono::duration<double>(expires - now).count();
    return expires > now && pool.demand.perSecond() * left >= pool.tokens() + 1;
}

// The slot has this token then, so it may be asked at once. One that is too old for its slot is kept.
bool Pools::giveBackToSlot(Pool& pool, const QuotaDecision& decision, Instant now, Effects& effects)
{
    const auto age = now - (decision.expires - pool.plan.validity);
    if (!decision.pull || age >= tokenReturnLife)
        return false;
    std::erase_if(pool.returned, [&](const Returned& entry) { return now - entry.at > returnMemory; });
    auto entry = std::ranges::find(pool.returned, *decision.pull, &Returned::pull);
    if (entry == pool.returned.end())
        entry = pool.returned.insert(entry, { *decision.pull, 0, now });
    const double total = entry->total + 1;
    if (!m_slots.giveBack(decision.slot, pool.plan, entry->pull, total)) {
        const auto holder = holderOf(decision.slot);
        if (holder.empty())
            return false;
        effects.messages.push_back({ holder, QuotaReturn { entry->pull, pool.account, decision.slot, total } });
    }
    entry->at = now;
    entry->total = total;
    if (const auto index = pool.plan.indexOf(decision.slot, m_settings.slots); index && *index < pool.sources.size())
        pool.sources[*index].notBefore = now;
    pool.blockedUntil = std::min(pool.blockedUntil, now);
    return true;
}

void Pools::receive(const QuotaReturn& given)
{
    const auto current = plans();
    const auto* plan = current ? current->find(given.account) : nullptr;
    if (plan && given.total >= 0)
        m_slots.giveBack(given.slot, *plan, given.pull, given.total);
}

// --- Pulls and grants -----------------------------------------------------------------------------------------------

void Pools::receive(const Endpoint& from, const QuotaPull& pull)
{
    if (!(pull.wanted > 0) || pull.wanted > largestPull)
        return;
    if (pull.slot != homeSlot) {
        m_board.outbox().post(from, answerFromSlot(pull));
        return;
    }
    Effects effects;
    const bool known = withPool(pull.account, [&](Pool& pool) {
        const Instant now = m_clock.now();
        expire(pool, now);
        pool.demand.add(pull.wanted, now);
        const Instant until = now + m_settings.patience / homePatienceDivisor;
        pool.waiters.push_back({ pull.wanted, now, until, nullptr, {}, from, pull.pull });
        settle(pool, now, effects);
    });
    if (!known)
        effects.messages.push_back({ from, QuotaGrant { pull.pull, pull.account, 0, {}, 0, unreachableRetry } });
    finish(pull.account, effects);
}

// Draws from a slot of this node for another one.
QuotaGrant Pools::answerFromSlot(const QuotaPull& pull)
{
    QuotaGrant grant { pull.pull, pull.account, 0, {}, 0, unreachableRetry };
    const auto current = plans();
    const auto* plan = current ? current->find(pull.account) : nullptr;
    if (!plan)
        return grant;
    if (const auto draw = m_slots.draw(pull.slot, *plan, pull.pull, pull.wanted, pull.least))
        grant = { pull.pull, pull.account, draw->tokens, plan->validity, draw->left, draw->retryAfter };
    return grant;
}

void Pools::receive(const QuotaGrant& grant)
{
    Effects effects;
    withPool(grant.account, [&](Pool& pool) {
        const Instant now = m_clock.now();
        const auto found = std::ranges::find(pool.pulls, grant.pull, &Pull::number);
        if (found == pool.pulls.end() || !(grant.tokens >= 0))
            return;
        const Pull pull = *found;
        pool.pulls.erase(found);
        noteRoundTrip(now - pull.sentAt);
        const double amount = std::min(grant.tokens, pull.wanted);
        const auto slot = pool.plan.slotAt(pull.index, m_settings.slots);
        addTokens(pool, { amount, pull.sentAt + grant.lifetime, pool.plan.usesHome ? 0 : pull.number, slot });
        noteResult(pool, pull.index, pull.wanted, { amount, grant.retryAfter, grant.left }, now);
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
    } while (pullOnce(pool, now, effects) || collect(pool, now, effects));
    const bool outOfTokens = isOutOfTokens(pool, now);
    if (pool.pulls.empty() && (outOfTokens || now >= pool.blockedUntil))
        refuseAll(pool, outOfTokens ? QuotaCause::OutOfTokens : QuotaCause::NoAnswer, now, effects);
    if (!pool.pulls.empty() || !pool.waiters.empty())
        list(pool, effects);
}

// Puts the account on the list of those that tick() looks after.
void Pools::list(Pool& pool, Effects& effects)
{
    effects.listAccount = effects.listAccount || !pool.listed;
    pool.listed = true;
}

// Gives the first in line its tokens, if they are there.
bool Pools::serveFirst(Pool& pool, Instant now, Effects& effects)
{
    auto& first = pool.waiters.front();
    const bool remote = !first.from.empty();
    const double amount = remote ? std::min(first.wanted, pool.tokens()) : 1;
    if (amount < std::min(first.wanted, 1.0))
        return false;
    const auto spent = spend(pool, amount);
    const Instant spentAt = m_clock.now();
    if (!spent || spentAt >= spent->expires)
        return false;
    if (remote) {
        const auto wait = amount < first.wanted ? retryAfter(pool, now) : Duration(0);
        const auto lifetime = spent->expires - spentAt;
        effects.messages.push_back({ first.from, QuotaGrant { first.pull, pool.account, amount, lifetime, 0, wait } });
    } else
        decide(first, { QuotaAnswer::Admitted, {}, spent->expires, {}, spent->pull, spent->slot }, effects);
    return true;
}

void Pools::decide(Waiter& waiter, const QuotaDecision& decision, Effects& effects)
{
    if (waiter.immediate)
        *waiter.immediate = decision;
    else if (waiter.callback)
        effects.decisions.emplace_back(std::move(waiter.callback), decision);
}

void Pools::refuse(Pool& pool, Waiter& waiter, QuotaCause cause, Instant now, Effects& effects)
{
    if (!waiter.from.empty()) {
        const auto wait = retryAfter(pool, now);
        effects.messages.push_back({ waiter.from, QuotaGrant { waiter.pull, pool.account, 0, {}, 0, wait } });
    } else {
        decide(waiter, refusal(pool, cause, waiter.since, now), effects);
    }
}

void Pools::refuseAll(Pool& pool, QuotaCause cause, Instant now, Effects& effects)
{
    for (auto& waiter : pool.waiters)
        refuse(pool, waiter, cause, now, effects);
    pool.waiters.clear();
}

QuotaDecision Pools::refusal(const Pool& pool, QuotaCause cause, Instant since, Instant now)
{
    m_board.counters().add(counterOf(cause));
    QuotaDecision decision { QuotaAnswer::Refused, retryAfter(pool, now) };
    const auto blocked = pool.blockedUntil > now ? Duration(pool.blockedUntil - now) : Duration(0);
    decision.evidence = { cause, pool.tokens(), pool.pulled(), pool.waiters.size(), now - since, blocked };
    return decision;
}

// When a token is likely to be there: as soon as the first source may be asked again.
Duration Pools::retryAfter(const Pool& pool, Instant now)
{
    Instant soonest = now + unreachableRetry;
    for (const auto& source : pool.sources)
        soonest = std::min(soonest, source.notBefore);
    const Duration wait = std::max({ soonest, pool.blockedUntil, now + shortestRetry }) - now;
    return wait + m_random.jittered(wait, 1.0) / static_cast<int>(1 / retryJitter);
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

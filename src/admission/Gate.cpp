#include "admission/Gate.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Vanillaridge {

namespace {

    // How often the budget is worked out, settings are read again, and the queue is looked through.
    constexpr Duration updatePeriod = milliseconds(20);
    constexpr Duration settingsPeriod = milliseconds(50);
    constexpr Duration scanPeriod = milliseconds(1);
    constexpr Duration forgetPeriod = seconds(1);
    // Weight of a new sample in the smoothed times.
    constexpr double timeSmoothing = 0.05;
    // While nothing is served, the smoothed service time is forgotten: a wrong one must not refuse everything for good.
    constexpr double serviceTimeMemory = 1; // seconds
    constexpr double shortestQueue = 4;
    // Lag of the node at which its event loop counts as full. Work is shed from half of it on, and steered to a
    // quarter: a request of the deployments served passes a lagging node some twenty times (five calls in a row, each
    // there and back at two nodes), and has 1.5 s.
    constexpr Duration fullLag = milliseconds(20);
    // Baseline: drops by delay start when requests have waited this long for that time.
    constexpr Duration delayTarget = milliseconds(5);
    constexpr Duration delayInterval = milliseconds(100);
    constexpr Duration shortestRetryAfter = milliseconds(250);
    constexpr Duration retryAfterPerLevel = seconds(2);
    constexpr double retryAfterJitter = 0.5;

    // Calls to open routes come for all accounts, and are not one large account.
    double levelFor(const ShedBudget& budget, std::string_view account)
    {
        return account.empty() ? budget.level() : budget.level(account);
    }

} // namespace

const std::array<Gate::StrategyRow, 5> Gate::strategies { {
    { &Gate::adaptiveLimit, &Gate::isShedByLevel, &Gate::placeByWorth, &Gate::isDroppedUnlessCritical, 1 },
    { &Gate::noLimit, &Gate::isNeverShed, &Gate::placeByArrival, &Gate::isNeverDropped, 1 },
    { &Gate::declaredLimit, &Gate::isNeverShed, &Gate::placeByArrival, &Gate::isDroppedAtLimit, 1 },
    { &Gate::declaredLimit, &Gate::isNeverShed, &Gate::placeByArrival, &Gate::isDroppedByDelay, 100 },
    { &Gate::adaptiveLimit, &Gate::isShedByLevel, &Gate::placeByWorth, &Gate::isDroppedUnlessCritical, 1 },
} };

Gate::Gate(Clock& clock, RandomSource& random, AdmissionStrategy strategy)
    : m_clock(clock)
    , m_random(random)
    , m_strategy(strategies[static_cast<size_t>(strategy)])
    , m_updatedAt(clock.now())
{
}

bool Gate::wantsSettings() const
{
    std::lock_guard guard(m_lock);
    return !m_configured || m_clock.now() - m_configuredAt >= settingsPeriod;
}

// A new generation of the backend server starts cold.
void Gate::configure(const GateSettings& settings)
{
    std::lock_guard guard(m_lock);
    const auto now = m_clock.now();
    if (!m_configured || settings.generation != m_settings.generation)
        m_coldSince = now;
    m_configured = true;
    m_configuredAt = now;
    m_settings = settings;
    m_budget.choose(settings.policy);
    m_lagBudget.choose(settings.policy);
    m_limit.configure(settings.slots, m_coldSince, settings.slowStart);
}

// --- Strategies ---------------------------------------------------------------------------------------------------

uint32_t Gate::adaptiveLimit(Instant now) const { return m_limit.current(now); }

uint32_t Gate::noLimit(Instant) const { return std::numeric_limits<uint32_t>::max(); }

uint32_t Gate::declaredLimit(Instant) const { return m_settings.slots; }

// A call whose request is not known here cannot be shed together with it: load is told to where requests enter instead.
bool Gate::isShedByLevel(const RequestContext& context) const
{
    return context.parentKnown && sheddingHeight(context) < levelFor(m_budget, context.account);
}

bool Gate::isNeverShed(const RequestContext&) const { return false; }

Gate::Place Gate::placeByWorth(const RequestContext& context)
{
    const double order = context.parentKnown ? m_budget.order(context.rank, context.account, context.treeHash) : 0;
    return { context.rank, isNewWork(context), order, ++m_sequence };
}

Gate::Place Gate::placeByArrival(const RequestContext&) { return { lowestRank, true, 0, ++m_sequence }; }

// The most important wait for as long as they can still finish: those less important make way for them.
bool Gate::isDroppedUnlessCritical(const Ticket& ticket, Instant now)
{
    const bool makesWay = ticket.parentKnown && ticket.place.rank.account != Importance::Critical;
    return makesWay && isDroppedAtLimit(ticket, now);
}

bool Gate::isDroppedAtLimit(const Ticket& ticket, Instant now) { return now - ticket.since > longestWait(); }

bool Gate::isNeverDropped(const Ticket&, Instant) { return false; }

// Drops one request at a time, more and more often while the delay stays above its target.
bool Gate::isDroppedByDelay(const Ticket& ticket, Instant now)
{
    if (now - ticket.since < delayTarget) {
        m_aboveTargetSince = now;
        m_drops = 0;
        return false;
    }
    if (now - m_aboveTargetSince < delayInterval || now < m_nextDrop)
        return false;
    ++m_drops;
    const double factor = 1 / std::sqrt(double(m_drops));
    m_nextDrop = now + fromSeconds(inSeconds(delayInterval) * factor);
    return true;
}

// --- Offers -------------------------------------------------------------------------------------------------------

AdmissionDecision Gate::offer(const RequestContext& context, Instant deadline, RoomBelow below)
{
    std::lock_guard guard(m_lock);
    const auto now = m_clock.now();

    // 1. Once only, and only if there is time for it. Where room is short here, what cannot be finished makes way;
    // where it is short further down, also new work that will probably not be. Otherwise trying costs nobody anything.
    if (m_tickets.contains(context.attempt))
        return refusal(Reason::Duplicate);
    m_budget.noteOffer(context.rank, context.account, context.represents);
    m_lagBudget.noteOffer(context.rank, context.account, context.represents);
    const bool isFree = m_queue.empty() && m_running < (this->*m_strategy.limit)(now);
    Ticket ticket { context.route, {}, deadline, Duration(0), now };
    if (below == RoomBelow::Short && context.depth == 1)
        ticket.expected = m_serviceTimes.usual(context.route, now);
    else if (!isFree)
        ticket.expected = m_serviceTimes.least(context.route, now);
    if (ticket.cannotFinish(now))
        return refusal(Reason::DeadlineExceeded, ticket.expected);

    // 2. A free slot is used, whatever the shed level.
    if (isFree) {
        const auto expected = ticket.expected;
        start(m_tickets.emplace(context.attempt, std::move(ticket)).first->second, now);
        return { .verdict = AdmissionVerdict::Admitted, .expected = expected };
    }
    return enqueueOrRefuse(context, std::move(ticket));
}

// What is refused here is always the least worthy of those who wait and the one that came.
AdmissionDecision Gate::enqueueOrRefuse(const RequestContext& context, Ticket ticket)
{
    m_saturated = true;
    const Place place = (this->*m_strategy.place)(context);

    // 1. Shed by level or by a full queue, unless something less important waits, which then goes in its place. A call
    // that waits makes way only in a full queue.
    const bool isFull = double(m_queue.size()) >= queueCapacity() * m_strategy.queueFactor;
    const bool isShed = (this->*m_strategy.isShed)(context);
    m_overflowed |= isFull;
    if (isShed || isFull) {
        const bool isWorse = m_queue.empty() || m_queue.rbegin()->first < place;
        const bool sameRank = !m_queue.empty() && m_queue.rbegin()->first.rank == place.rank;
        const bool isCallLast = !m_queue.empty() && !m_queue.rbegin()->first.isNewWork;
        if (isWorse || (isShed && (sameRank || (isCallLast && !isFull))))
            return refusal(isShed ? Reason::ShedAtGuard : Reason::QueueFull);
        evictWorst(Reason::ShedAtGuard);
    }

    // 2. It waits.
    ticket.place = place;
    ticket.parentKnown = context.parentKnown;
    ticket.waiting = true;
    m_tickets.emplace(context.attempt, std::move(ticket));
    m_queue.emplace(place, context.attempt);
    return { AdmissionVerdict::Waiting };
}

void Gate::start(Ticket& ticket, Instant now)
{
    ticket.waiting = false;
    ticket.since = now;
    ++m_running;
}

AdmissionDecision Gate::refusal(Reason reason, Duration expected)
{
    const auto base = shortestRetryAfter + fromSeconds(inSeconds(retryAfterPerLevel) * m_budget.level());
    return { AdmissionVerdict::Refused, reason, m_random.jittered(base, retryAfterJitter), expected };
}

void Gate::evictWorst(Reason reason) { refuse(std::prev(m_queue.end()), reason); }

void Gate::refuse(Queue::iterator waiting, Reason reason)
{
    const auto ticket = m_tickets.extract(waiting->second);
    m_changes.push_back({ waiting->second, {}, refusal(reason, ticket.mapped().expected) });
    m_queue.erase(waiting);
}

// --- Ends ---------------------------------------------------------------------------------------------------------

std::optional<RouteName> Gate::finished(const AttemptId& attempt, AdmittedEnd end)
{
    std::lock_guard guard(m_lock);
    const auto found = m_tickets.find(attempt);
    if (found == m_tickets.end() || found->second.waiting)
        return std::nullopt;
    const auto now = m_clock.now();
    const auto spent = now - found->second.since;
    m_limit.noteEnd(end, spent, m_running);
    if (end != AdmittedEnd::Overloaded)
        ++m_ends;
    if (end == AdmittedEnd::Served) {
        m_serviceTimes.note(found->second.route, spent, now);
        noteServiceTime(inSeconds(spent));
    }
    auto route = std::move(found->second.route);
    m_tickets.erase(found);
    --m_running;
    return route;
}

void Gate::noteServiceTime(double spent)
{
    ++m_served;
    if (m_serviceTime <= 0) {
        m_serviceTime = spent;
        return;
    }
    m_serviceTime += timeSmoothing * (spent - m_serviceTime);
}

void Gate::abandon(const AttemptId& attempt)
{
    std::lock_guard guard(m_lock);
    const auto found = m_tickets.find(attempt);
    if (found == m_tickets.end() || !found->second.waiting)
        return;
    m_queue.erase(found->second.place);
    m_tickets.erase(found);
}

// --- Decisions on those who wait ------------------------------------------------------------------------------------

void Gate::settle(std::string_view service, Duration lag, std::vector<AdmissionChange>& changes)
{
    std::lock_guard guard(m_lock);
    const auto now = m_clock.now();
    if (now - m_scannedAt >= scanPeriod) {
        m_scannedAt = now;
        refuseLate(now);
    }
    startWaiting(now);
    if (now - m_updatedAt >= updatePeriod)
        update(now, lag);
    for (auto& change : std::exchange(m_changes, {})) {
        change.service = service;
        changes.push_back(std::move(change));
    }
}

// Refuses what has waited too long or can no longer finish. A request that waited too long takes new work of lower rank
// with it: they would have waited in vain, and must not outlive it.
void Gate::refuseLate(Instant now)
{
    auto lowestLeft = lowestRank;
    for (auto waiting = m_queue.begin(); waiting != m_queue.end();) {
        const auto present = waiting++;
        const auto& ticket = m_tickets.at(present->second);
        if (ticket.cannotFinish(now)) {
            refuse(present, Reason::DeadlineExceeded);
        } else if (present->first.isNewWork && present->first.rank > lowestLeft) {
            refuse(present, Reason::ShedAtGuard);
        } else if ((this->*m_strategy.isDropped)(ticket, now)) {
            m_overflowed = true;
            lowestLeft = present->first.rank;
            refuse(present, Reason::QueueTimeout);
        }
    }
}

void Gate::startWaiting(Instant now)
{
    const auto limit = (this->*m_strategy.limit)(now);
    while (m_running < limit && !m_queue.empty()) {
        const auto best = m_queue.begin();
        auto& ticket = m_tickets.at(best->second);
        if (ticket.cannotFinish(now)) {
            refuse(best, Reason::DeadlineExceeded);
            continue;
        }
        m_queueTime += timeSmoothing * (inSeconds(now - ticket.since) - m_queueTime);
        start(ticket, now);
        m_changes.push_back({ best->second, {}, { AdmissionVerdict::Admitted } });
        m_queue.erase(best);
    }
}

// Requests that the event loop has not come to are a queue like that before the backend server: as many as the lag
// holds of those that leave.
void Gate::updateLagBudget(Instant now, Duration lag)
{
    const auto elapsed = now - m_updatedAt;
    const double rate = m_ends / inSeconds(elapsed);
    m_lagBudget.update({ elapsed, m_ends, lag > fullLag / 4, lag > fullLag / 2,
        static_cast<size_t>(rate * inSeconds(lag)), rate * inSeconds(fullLag), Duration(0) });
}

void Gate::update(Instant now, Duration lag)
{
    m_saturated |= !m_queue.empty();
    if (!m_served)
        m_serviceTime *= std::exp(-inSeconds(now - m_updatedAt) / serviceTimeMemory);
    m_budget.update(
        { now - m_updatedAt, m_ends, m_saturated, m_overflowed, m_queue.size(), queueCapacity(), expectedService() });
    updateLagBudget(now, lag);
    m_limit.update(now, m_saturated);
    if (now - m_forgottenAt >= forgetPeriod) {
        m_serviceTimes.forget(now);
        m_forgottenAt = now;
    }
    m_updatedAt = now;
    m_ends = 0;
    m_served = 0;
    m_saturated = false;
    m_overflowed = false;
}

Duration Gate::expectedService() const { return fromSeconds(m_serviceTime); }

// As many as can be expected to start within the longest wait.
double Gate::queueCapacity() const
{
    const double limit = m_limit.current(m_clock.now());
    const double rate = m_serviceTime > 0 ? limit / m_serviceTime : limit;
    return std::max(shortestQueue, std::min(rate * inSeconds(longestWait()), 4 * limit));
}

// A slow backend server frees its slots rarely, so those who wait for one need about as long as it takes.
Duration Gate::longestWait() const { return std::max(m_settings.queueLimit, expectedService()); }

// --- Feedback -----------------------------------------------------------------------------------------------------

LoadFeedback Gate::feedback(std::optional<std::string_view> account) const
{
    std::lock_guard guard(m_lock);
    LoadFeedback load;
    load.running = m_running;
    load.waiting = static_cast<uint32_t>(m_queue.size());
    load.limit = (this->*m_strategy.limit)(m_clock.now());
    const double levelForLag = levelFor(m_lagBudget, account.value_or(""));
    load.shedLevel = levelFor(m_budget, account.value_or(""));
    load.shedLevel = std::max(load.shedLevel, levelForLag);
    load.serviceTime = expectedService();
    load.queueTime = fromSeconds(m_queueTime);
    return load;
}

LimitReport Gate::limitReport() const
{
    std::lock_guard guard(m_lock);
    return m_limit.report();
}

} // namespace Vanillaridge

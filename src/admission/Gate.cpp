#include "admission/Gate.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Vanillaridge {

namespace {

    // Intervals for updating the budget, reading settings again, scanning the queue, and expiring service times.
    constexpr Duration updatePeriod = milliseconds(20);
    constexpr Duration settingsPeriod = milliseconds(50);
    constexpr Duration scanPeriod = milliseconds(1);
    constexpr Duration expiryPeriod = seconds(1);
    // EWMA weight of a new sample of service or queue time.
    constexpr double timeEwmaWeight = 0.05;
    // Decay of the average service time while nothing is served: a wrong average must not refuse all requests forever.
    constexpr double serviceTimeDecay = 1; // seconds
    constexpr double minimumQueueCapacity = 4;
    // Event loop lag at which the node counts as full. Shedding starts at half of it and steers the lag to a quarter:
    // in the deployments served, a request has 1.5 s and passes a lagging node about twenty times (five sequential
    // calls, each with request and answer at two nodes).
    constexpr Duration saturationLag = milliseconds(20);
    // QueueDelay baseline: dropping starts once the delay has exceeded the target for the interval, as in CoDel.
    constexpr Duration delayTarget = milliseconds(5);
    constexpr Duration delayInterval = milliseconds(100);
    constexpr Duration minimumRetryAfter = milliseconds(250);
    constexpr Duration retryAfterPerLevel = seconds(2);
    constexpr double retryAfterJitter = 0.5;

    // Calls to open routes carry no account. They are made for all accounts and do not count as one large account.
    double levelFor(const ShedBudget& budget, std::string_view account)
    {
        return account.empty() ? budget.level() : budget.level(account);
    }

} // namespace

const std::array<Gate::StrategyRow, 5> Gate::strategies { {
    { &Gate::adaptiveLimit, &Gate::isShedByLevel, &Gate::positionByPriority, &Gate::isDroppedUnlessCritical, 1 },
    { &Gate::noLimit, &Gate::isNeverShed, &Gate::positionByArrival, &Gate::isNeverDropped, 1 },
    { &Gate::declaredLimit, &Gate::isNeverShed, &Gate::positionByArrival, &Gate::isDroppedAtWaitTimeout, 1 },
    { &Gate::declaredLimit, &Gate::isNeverShed, &Gate::positionByArrival, &Gate::isDroppedByDelay, 100 },
    { &Gate::adaptiveLimit, &Gate::isShedByLevel, &Gate::positionByPriority, &Gate::isDroppedUnlessCritical, 1 },
} };

Gate::Gate(Clock& clock, RandomSource& random, AdmissionStrategy strategy)
    : m_clock(clock)
    , m_random(random)
    , m_strategy(strategies[static_cast<size_t>(strategy)])
    , m_updatedAt(clock.now())
{
}

bool Gate::hasStaleSettings() const
{
    std::lock_guard guard(m_lock);
    return !m_configured || m_clock.now() - m_configuredAt >= settingsPeriod;
}

// A new generation of the backend server begins with a cold start.
void Gate::configure(const GateSettings& settings)
{
    std::lock_guard guard(m_lock);
    const auto now = m_clock.now();
    if (!m_configured || settings.generation != m_settings.generation)
        m_coldStartAt = now;
    m_configured = true;
    m_configuredAt = now;
    m_settings = settings;
    m_budget.setPolicy(settings.policy);
    m_lagBudget.setPolicy(settings.policy);
    m_limit.configure(settings.slots, m_coldStartAt, settings.slowStart);
}

uint32_t Gate::adaptiveLimit(Instant now) const { return m_limit.current(now); }

uint32_t Gate::noLimit(Instant) const { return std::numeric_limits<uint32_t>::max(); }

uint32_t Gate::declaredLimit(Instant) const { return m_settings.slots; }

// A call with an unknown parent cannot be shed together with its request. Load is reported to where requests enter.
bool Gate::isShedByLevel(const RequestContext& context) const
{
    return context.parentKnown && sheddingHeight(context) < levelFor(m_budget, context.account);
}

bool Gate::isNeverShed(const RequestContext&) const { return false; }

Gate::QueuePosition Gate::positionByPriority(const RequestContext& context)
{
    const double sortKey = context.parentKnown ? m_budget.sortKey(context.rank, context.account, context.treeHash) : 0;
    return { context.rank, isNewWork(context), sortKey, ++m_sequence };
}

Gate::QueuePosition Gate::positionByArrival(const RequestContext&) { return { lowestRank, true, 0, ++m_sequence }; }

// Critical requests wait as long as they can meet their deadline; less important ones are dropped in their favor.
bool Gate::isDroppedUnlessCritical(const Ticket& ticket, Instant now)
{
    const bool isDroppable = ticket.parentKnown && ticket.position.rank.account != Importance::Critical;
    return isDroppable && isDroppedAtWaitTimeout(ticket, now);
}

bool Gate::isDroppedAtWaitTimeout(const Ticket& ticket, Instant now) { return now - ticket.since > waitTimeout(); }

bool Gate::isNeverDropped(const Ticket&, Instant) { return false; }

// Drops single requests at shrinking intervals while the delay stays above its target, as in CoDel.
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

AdmissionDecision Gate::offer(const RequestContext& context, Instant deadline, DownstreamCapacity downstream)
{
    std::lock_guard guard(m_lock);
    const auto now = m_clock.now();

    // 1. Refuse duplicates and requests that cannot meet their deadline. If local capacity is short, these are requests
    // with less time than most need at least; if downstream capacity is short, also new work that will probably miss
    // its deadline. With spare capacity, an attempt costs other requests nothing.
    if (m_tickets.contains(context.attempt))
        return refusal(Reason::Duplicate);
    m_budget.recordOffered(context.rank, context.account, context.represents);
    m_lagBudget.recordOffered(context.rank, context.account, context.represents);
    const bool isFree = m_queue.empty() && m_running < (this->*m_strategy.limit)(now);
    Ticket ticket { context.route, {}, deadline, Duration(0), now };
    if (downstream == DownstreamCapacity::Short && context.depth == 1)
        ticket.expected = m_serviceTimes.highEstimate(context.route, now);
    else if (!isFree)
        ticket.expected = m_serviceTimes.lowEstimate(context.route, now);
    if (ticket.missesDeadline(now))
        return refusal(Reason::DeadlineExceeded, ticket.expected);

    // 2. Use a free slot regardless of the shed level.
    if (isFree) {
        const auto expected = ticket.expected;
        start(m_tickets.emplace(context.attempt, std::move(ticket)).first->second, now);
        return { .verdict = AdmissionVerdict::Admitted, .expected = expected };
    }
    return enqueueOrRefuse(context, std::move(ticket));
}

// Refuses the lowest priority among the waiting requests and the new one.
AdmissionDecision Gate::enqueueOrRefuse(const RequestContext& context, Ticket ticket)
{
    m_saturated = true;
    const QueuePosition position = (this->*m_strategy.position)(context);

    // 1. Shed by level or because the queue is full. If a less important request is waiting, evict that one instead; a
    // waiting call is evicted only when the queue is full.
    const bool isFull = double(m_queue.size()) >= queueCapacity() * m_strategy.queueCapacityFactor;
    const bool isShed = (this->*m_strategy.isShed)(context);
    m_overflowed |= isFull;
    if (isShed || isFull) {
        const bool wouldBeLast = m_queue.empty() || m_queue.rbegin()->first < position;
        const bool sameRank = !m_queue.empty() && m_queue.rbegin()->first.rank == position.rank;
        const bool isLastCall = !m_queue.empty() && !m_queue.rbegin()->first.isNewWork;
        if (wouldBeLast || (isShed && (sameRank || (isLastCall && !isFull))))
            return refusal(isShed ? Reason::ShedAtGuard : Reason::QueueFull);
        evictLast(Reason::ShedAtGuard);
    }

    // 2. Enqueue.
    ticket.position = position;
    ticket.parentKnown = context.parentKnown;
    ticket.waiting = true;
    m_tickets.emplace(context.attempt, std::move(ticket));
    m_queue.emplace(position, context.attempt);
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
    const auto base = minimumRetryAfter + fromSeconds(inSeconds(retryAfterPerLevel) * m_budget.level());
    return { AdmissionVerdict::Refused, reason, m_random.jittered(base, retryAfterJitter), expected };
}

void Gate::evictLast(Reason reason) { refuse(std::prev(m_queue.end()), reason); }

void Gate::refuse(Queue::iterator waiting, Reason reason)
{
    const auto ticket = m_tickets.extract(waiting->second);
    m_changes.push_back({ waiting->second, {}, refusal(reason, ticket.mapped().expected) });
    m_queue.erase(waiting);
}

std::optional<RouteName> Gate::finished(const AttemptId& attempt, CompletionStatus status)
{
    std::lock_guard guard(m_lock);
    const auto found = m_tickets.find(attempt);
    if (found == m_tickets.end() || found->second.waiting)
        return std::nullopt;
    const auto now = m_clock.now();
    const auto serviceTime = now - found->second.since;
    m_limit.recordCompletion(status, serviceTime, m_running);
    if (status != CompletionStatus::Overloaded)
        ++m_completions;
    if (status == CompletionStatus::Served) {
        m_serviceTimes.record(found->second.route, serviceTime, now);
        recordServiceTime(inSeconds(serviceTime));
    }
    auto route = std::move(found->second.route);
    m_tickets.erase(found);
    --m_running;
    return route;
}

void Gate::recordServiceTime(double serviceTime)
{
    ++m_served;
    if (m_serviceTime <= 0) {
        m_serviceTime = serviceTime;
        return;
    }
    m_serviceTime += timeEwmaWeight * (serviceTime - m_serviceTime);
}

void Gate::abandon(const AttemptId& attempt)
{
    std::lock_guard guard(m_lock);
    const auto found = m_tickets.find(attempt);
    if (found == m_tickets.end() || !found->second.waiting)
        return;
    m_queue.erase(found->second.position);
    m_tickets.erase(found);
}

void Gate::processQueue(std::string_view service, Duration lag, std::vector<AdmissionChange>& changes)
{
    std::lock_guard guard(m_lock);
    const auto now = m_clock.now();
    if (now - m_scannedAt >= scanPeriod) {
        m_scannedAt = now;
        refuseExpired(now);
    }
    startQueued(now);
    if (now - m_updatedAt >= updatePeriod)
        update(now, lag);
    for (auto& change : std::exchange(m_changes, {})) {
        change.service = service;
        changes.push_back(std::move(change));
    }
}

// Refuses requests that exceeded the wait timeout or can no longer meet their deadline. With a request that timed out,
// new work of lower rank is refused too: it would wait in vain, and must not outlive a more important request.
void Gate::refuseExpired(Instant now)
{
    auto lowestRemaining = lowestRank;
    for (auto waiting = m_queue.begin(); waiting != m_queue.end();) {
        const auto present = waiting++;
        const auto& ticket = m_tickets.at(present->second);
        if (ticket.missesDeadline(now)) {
            refuse(present, Reason::DeadlineExceeded);
        } else if (present->first.isNewWork && present->first.rank > lowestRemaining) {
            refuse(present, Reason::ShedAtGuard);
        } else if ((this->*m_strategy.isDropped)(ticket, now)) {
            m_overflowed = true;
            lowestRemaining = present->first.rank;
            refuse(present, Reason::QueueTimeout);
        }
    }
}

void Gate::startQueued(Instant now)
{
    const auto limit = (this->*m_strategy.limit)(now);
    while (m_running < limit && !m_queue.empty()) {
        const auto best = m_queue.begin();
        auto& ticket = m_tickets.at(best->second);
        if (ticket.missesDeadline(now)) {
            refuse(best, Reason::DeadlineExceeded);
            continue;
        }
        m_queueTime += timeEwmaWeight * (inSeconds(now - ticket.since) - m_queueTime);
        start(ticket, now);
        m_changes.push_back({ best->second, {}, { AdmissionVerdict::Admitted } });
        m_queue.erase(best);
    }
}

// Requests delayed in the event loop form a queue like the one for the backend server. Its length is the completion
// rate times the lag.
void Gate::updateLagBudget(Instant now, Duration lag)
{
    const auto elapsed = now - m_updatedAt;
    const double rate = m_completions / inSeconds(elapsed);
    m_lagBudget.update({ elapsed, m_completions, lag > saturationLag / 4, lag > saturationLag / 2,
        static_cast<size_t>(rate * inSeconds(lag)), rate * inSeconds(saturationLag), Duration(0) });
}

void Gate::update(Instant now, Duration lag)
{
    m_saturated |= !m_queue.empty();
    if (!m_served)
        m_serviceTime *= std::exp(-inSeconds(now - m_updatedAt) / serviceTimeDecay);
    m_budget.update({ now - m_updatedAt, m_completions, m_saturated, m_overflowed, m_queue.size(), queueCapacity(),
        expectedService() });
    updateLagBudget(now, lag);
    m_limit.update(now, m_saturated);
    if (now - m_expiredAt >= expiryPeriod) {
        m_serviceTimes.expire(now);
        m_expiredAt = now;
    }
    m_updatedAt = now;
    m_completions = 0;
    m_served = 0;
    m_saturated = false;
    m_overflowed = false;
}

Duration Gate::expectedService() const { return fromSeconds(m_serviceTime); }

// Number of requests expected to start within the wait timeout.
double Gate::queueCapacity() const
{
    const double limit = m_limit.current(m_clock.now());
    const double rate = m_serviceTime > 0 ? limit / m_serviceTime : limit;
    return std::max(minimumQueueCapacity, std::min(rate * inSeconds(waitTimeout()), 4 * limit));
}

// A slow backend server rarely frees a slot, so waiting for one takes about as long as its service time.
Duration Gate::waitTimeout() const { return std::max(m_settings.queueLimit, expectedService()); }

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

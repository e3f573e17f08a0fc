#include "retry/Retry.h"

#include <algorithm>
#include <cmath>

namespace Vanillaridge {

namespace {

    // Retries that a service's budget holds at most, and after a quiet time.
    constexpr double reserveTokens = 5;
    // Of these, kept for callers' requests: a call helps only if all others of its request are answered as well.
    constexpr double keptFromCalls = 2;
    // Wait before the first retry; doubled for each further one.
    constexpr Duration firstDelay = milliseconds(5);
    constexpr Duration longestDelay = milliseconds(200);
    constexpr double jitterFraction = 0.5;
    // Retry-After while a service refuses little, and while it refuses everything.
    constexpr Duration shortestRetryAfter = milliseconds(500);
    constexpr Duration longestRetryAfter = seconds(20);
    // Part of a target latency that passes before a refused caller returns, and how far returns are spread: the rest is
    // for the second try.
    constexpr double shareBeforeReturn = 0.4;
    constexpr double returnJitter = 0.25;
    // Half-life of what is remembered of refusals, for Retry-After.
    constexpr Duration refusalMemory = seconds(2);

    // Whether a retry by somebody further down would have been for the same cause: refusals that come from the very
    // next guard cannot have been retried below it.
    bool retriedBelow(const EntryRecord& entry, Reason reason)
    {
        return entry.retriesBelow > 0 && row(reason).outcome != Outcome::NotRun;
    }

    // Whether another try may help, and would not run a request twice that must run once.
    bool retryHelps(const EntryRecord& entry, Reason reason)
    {
        if (row(reason).worthAnotherServer)
            return true;
        const bool lost = reason == Reason::ConnectionLost || reason == Reason::AnswerCutShort;
        return lost && entry.context.idempotent;
    }

} // namespace

struct Retry::State {
    // The retry budget of one service at this node, as a token bucket filled by first tries.
    struct ServiceBudget {
        double tokens { reserveTokens };
        // First tries and refusals of late, decayed.
        double firstTries { 0 };
        double refusals { 0 };
        Instant decayedAt;
    };

    State(Board& board, Clock& clock, RandomSource& random, RetryStrategy strategy)
        : board(board)
        , clock(clock)
        , random(random)
        , strategy(strategy)
    {
    }

    // Lets old counts fade before new ones are added.
    void decay(ServiceBudget& budget) const
    {
        const auto now = clock.now();
        const double elapsed = std::chrono::duration<double>(now - budget.decayedAt) / refusalMemory;
        const double factor = std::exp2(-elapsed);
        budget.firstTries *= factor;
        budget.refusals *= factor;
        budget.decayedAt = now;
    }

    Policy policy() const
    {
        const auto configuration = board.configuration().inForce();
        return configuration ? configuration->policy() : Policy {};
    }

    bool takeToken(std::string_view service, double kept)
    {
        return budgets.update(ServiceName(service), [kept](ServiceBudget& budget) {
            if (budget.tokens < 1 + kept)
                return false;
            budget.tokens -= 1;
            return true;
        });
    }

    // A retry taken out of an entry's budget.
    struct EntryRetry {
        uint32_t number { 0 };
        bool isNewWork { true };
    };

    // What may be spent is looked at first, without the service's budget, which has a lock of its own.
    std::optional<EntryRetry> takeFromEntry(const RequestId& id, Reason reason)
    {
        std::optional<EntryRetry> taken;
        board.entries().visit(id, [&](EntryRecord& entry) {
            if (!entry.context.retriesLeft || retriedBelow(entry, reason) || !retryHelps(entry, reason))
                return;
            --entry.context.retriesLeft;
            ++entry.retriesUsed;
            taken = EntryRetry { ++entry.retriesHere, isNewWork(entry.context) };
        });
        return taken;
    }

    void putBackIntoEntry(const RequestId& id)
    {
        board.entries().visit(id, [](EntryRecord& entry) {
            ++entry.context.retriesLeft;
            --entry.retriesUsed;
            --entry.retriesHere;
        });
    }

    Duration delayBefore(uint32_t number)
    {
        const auto doubled = firstDelay * (uint64_t(1) << std::min(number - 1, 10U));
        return random.jittered(std::min<Duration>(doubled, longestDelay), jitterFraction);
    }

    Board& board;
    Clock& clock;
    RandomSource& random;
    const RetryStrategy strategy;
    Sharded<ServiceName, ServiceBudget> budgets;
};

Retry::Retry(Board& board, Clock& clock, RandomSource& random, RetryStrategy strategy)
    : m_state(std::make_unique<State>(board, clock, random, strategy))
{
}

Retry::~Retry() = default;

// First tries earn retries, so that a service that fails everything gets a fixed fraction more, and no storm.
void Retry::noteFirstTry(std::string_view service)
{
    const double fraction = m_state->policy().retryFraction;
    m_state->budgets.update(ServiceName(service), [&](State::ServiceBudget& budget) {
        m_state->decay(budget);
        budget.firstTries += 1;
        budget.tokens = std::min(reserveTokens, budget.tokens + fraction);
    });
}

// Both budgets must have a retry left; the entry's is put back when the service's has none.
std::optional<RetryGrant> Retry::mayRetry(const RequestId& id, std::string_view service, Reason reason)
{
    // 1. The request's own budget.
    auto& counters = m_state->board.counters();
    const auto taken = m_state->takeFromEntry(id, reason);
    if (!taken) {
        counters.add(Counter::RetriesWithoutBudget);
        return std::nullopt;
    }

    // 2. The service's.
    const double kept = taken->isNewWork ? 0 : keptFromCalls;
    if (m_state->strategy == RetryStrategy::Budget && !m_state->takeToken(service, kept)) {
        m_state->putBackIntoEntry(id);
        counters.add(Counter::RetriesWithoutBudget);
        return std::nullopt;
    }

    // 3. Granted.
    counters.add(Counter::RetriesSpent);
    counters.addRetry(reason);
    return RetryGrant { taken->number, m_state->delayBefore(taken->number) };
}

// While an attempt is under way nobody retries here, so the budget goes with it, but for one retry: an attempt that is
// lost takes what it was lent with it.
uint32_t Retry::lendToAttempt(const RequestId& id)
{
    if (m_state->strategy == RetryStrategy::NoBudget)
        return m_state->policy().retriesPerRequest;
    uint32_t lent = 0;
    m_state->board.entries().visit(id, [&](EntryRecord& entry) {
        lent = entry.context.retriesLeft > 0 ? entry.context.retriesLeft - 1 : 0;
        entry.context.retriesLeft -= lent;
        entry.retriesBelow = 0;
    });
    return lent;
}

// An attempt that gave no answer may have spent everything, so its loan counts as spent.
void Retry::collect(const RequestId& id, uint32_t lent, std::optional<uint32_t> used)
{
    if (m_state->strategy == RetryStrategy::NoBudget)
        return;
    const uint32_t spent = std::min(used.value_or(lent), lent);
    m_state->board.entries().visit(id, [&](EntryRecord& entry) {
        entry.context.retriesLeft += lent - spent;
        entry.retriesUsed += spent;
        entry.retriesBelow = used ? spent : 0;
    });
}

// Half, rounded up: a single call in a row of depth still finds a retry, and calls side by side do not starve.
uint32_t Retry::lendToChild(const AttemptId& parent)
{
    if (m_state->strategy == RetryStrategy::NoBudget)
        return m_state->policy().retriesPerRequest;
    uint32_t share = 0;
    m_state->board.attempts().visit(parent, [&](AttemptRecord& attempt) {
        share = (attempt.context.retriesLeft + 1) / 2;
        attempt.context.retriesLeft -= share;
    });
    return share;
}

// What a call used is told to the caller's entry with the answer, by way of AttemptRecord::retriesUsed.
void Retry::returnFromChild(const AttemptId& parent, uint32_t lent, uint32_t used)
{
    if (m_state->strategy == RetryStrategy::NoBudget)
        return;
    const uint32_t spent = std::min(used, lent);
    m_state->board.attempts().visit(parent, [&](AttemptRecord& attempt) {
        attempt.context.retriesLeft += lent - spent;
        attempt.retriesUsed += spent;
    });
}

// Grows with the share of requests refused of late, so that callers come back when there is room for them.
Duration Retry::retryAfter(std::string_view service, Reason)
{
    const double refused = m_state->budgets.update(ServiceName(service), [&](State::ServiceBudget& budget) {
        m_state->decay(budget);
        budget.refusals += 1;
        return std::min(1.0, budget.refusals / std::max(1.0, budget.firstTries + budget.refusals));
    });
    const auto range = std::chrono::duration<double>(longestRetryAfter - shortestRetryAfter);
    const auto base = shortestRetryAfter + std::chrono::duration_cast<Duration>(range * refused * refused);
    return m_state->random.jittered(base, jitterFraction);
}

Duration Retry::retryWithin(Duration targetLatency)
{
    const auto latest = static_cast<double>(targetLatency.count()) * shareBeforeReturn;
    return m_state->random.jittered(Duration(static_cast<Duration::rep>(latest)), returnJitter);
}

} // namespace Vanillaridge

#include "retry/Retry.h"

#include <algorithm>
#include <cmath>

namespace Vanillaridge {

namespace {

    // Capacity of a service's token bucket, which starts full.
    constexpr double bucketCapacity = 5;
    // Tokens reserved for callers' requests: a retried call helps only if all other calls of its request succeed too.
    constexpr double tokensReservedForCallers = 1;
    // Further tokens that the calls of the least important tree leave to others; those of more important ones leave
    // proportionally fewer.
    constexpr double tokensReservedByHeight = bucketCapacity - 1 - tokensReservedForCallers;
    // Repeats of a request that the backend server rejects: enough for 99 in 100 where it rejects half of them.
    constexpr uint32_t maximumRetriesAfterRejection = 7;
    // Backoff before the first retry, doubled for each further one up to the maximum.
    constexpr Duration initialBackoff = milliseconds(5);
    constexpr Duration maximumBackoff = milliseconds(200);
    constexpr double jitterFraction = 0.5;
    // Retry-After while a service refuses few requests, and while it refuses all of them.
    constexpr Duration minimumRetryAfter = milliseconds(500);
    constexpr Duration maximumRetryAfter = seconds(20);
    // Fraction of the target latency that a refused caller waits, and its jitter. The rest is left for the retry
    // itself.
    constexpr double targetLatencyFraction = 0.4;
    constexpr double targetJitterFraction = 0.25;
    // Time constant of the rate of first attempts that a service's budget is derived from when fewer come than before,
    // and the period in which that is made up for.
    constexpr double rateTimeConstant = 5; // seconds
    constexpr Duration topUpPeriod = seconds(1);
    // Half-life of the counts of first attempts and refusals behind Retry-After.
    constexpr Duration countHalfLife = seconds(2);

    // Whether downstream calls have already retried for the same cause. A refusal by the next guard cannot have been
    // retried downstream, because the request never ran there.
    bool isRetriedDownstream(const EntryRecord& entry, Reason reason)
    {
        return entry.retriesBelow > 0 && row(reason).outcome != Outcome::NotRun;
    }

    // Whether the backend server itself rejected the request, so that it has not run.
    bool isRejection(Reason reason) { return reason == Reason::ServerBusy; }

    // Whether the request was given any retries. What no attempt holds on loan is either left or used.
    bool mayRetryAtAll(const EntryRecord& entry) { return entry.context.retriesLeft + entry.retriesUsed > 0; }

    // Tokens that a retry leaves in the bucket.
    double reservedTokens(const RequestContext& context)
    {
        if (isNewWork(context))
            return 0;
        const double height = std::clamp(sheddingHeight(context) / double(rankCount), 0.0, 1.0);
        return tokensReservedForCallers + (1 - height) * tokensReservedByHeight;
    }

    // Whether a retry may help and cannot run a non-idempotent request twice.
    bool isRetryable(const EntryRecord& entry, Reason reason)
    {
        if (row(reason).worthAnotherServer)
            return true;
        const bool lost = reason == Reason::ConnectionLost || reason == Reason::AnswerCutShort;
        return lost && entry.context.idempotent;
    }

} // namespace

struct Retry::State {
    // The retry budget of one service at this node: a token bucket filled by first attempts.
    struct ServiceBudget {
        double tokens { bucketCapacity };
        // Exponentially decayed counts of first attempts and refusals.
        double firstAttempts { 0 };
        double refusals { 0 };
        Instant decayedAt;
        // First attempts per second, averaged over rateTimeConstant, and those since the last top-up.
        double slowRate { 0 };
        double attemptsInPeriod { 0 };
        Instant toppedUpAt;
    };

    State(Board& board, Clock& clock, RandomSource& random, RetryStrategy strategy)
        : board(board)
        , clock(clock)
        , random(random)
        , strategy(strategy)
    {
    }

    // Decays the counts to the current time. Called before a count is incremented.
    void decay(ServiceBudget& budget) const
    {
        const auto now = clock.now();
        const double elapsed = std::chrono::duration<double>(now - budget.decayedAt) / countHalfLife;
        const double factor = std::exp2(-elapsed);
        budget.firstAttempts *= factor;
        budget.refusals *= factor;
        budget.decayedAt = now;
    }

    // Requests that fail at their first calls make no others. So that the budget does not shrink with them, it is
    // filled at the rate of the last seconds for as long as that is higher.
    static void topUp(ServiceBudget& budget, Instant now, double fraction)
    {
        const auto elapsed = now - budget.toppedUpAt;
        if (elapsed < topUpPeriod)
            return;
        const double period = inSeconds(elapsed);
        const double missing = budget.slowRate * period - budget.attemptsInPeriod;
        if (elapsed < 2 * topUpPeriod && missing > 0)
            budget.tokens = std::min(bucketCapacity, budget.tokens + fraction * missing);
        const double kept = std::exp(-period / rateTimeConstant);
        budget.slowRate = kept * budget.slowRate + (1 - kept) * budget.attemptsInPeriod / period;
        budget.attemptsInPeriod = 0;
        budget.toppedUpAt = now;
    }

    Policy policy() const
    {
        const auto configuration = board.configuration().inForce();
        return configuration ? configuration->policy() : Policy {};
    }

    bool takeToken(std::string_view service, double reserved)
    {
        return budgets.update(ServiceName(service), [reserved](ServiceBudget& budget) {
            if (budget.tokens < 1 + reserved)
                return false;
            budget.tokens -= 1;
            return true;
        });
    }

    // A retry taken from an entry's budget.
    struct EntryRetry {
        uint32_t number { 0 };
        double reservedTokens { 0 };
    };

    // Checks and charges only the entry's budget; the service's budget is under a different lock and charged
    // afterwards.
    std::optional<EntryRetry> takeFromEntry(const RequestId& id, Reason reason)
    {
        std::optional<EntryRetry> taken;
        board.entries().visit(id, [&](EntryRecord& entry) {
            if (isRetriedDownstream(entry, reason) || !isRetryable(entry, reason) || !charge(entry, reason))
                return;
            taken = EntryRetry { ++entry.retriesHere, reservedTokens(entry.context) };
        });
        return taken;
    }

    // A retry after a rejection is counted, but not charged to the budget for runs.
    static bool charge(EntryRecord& entry, Reason reason)
    {
        if (isRejection(reason)) {
            if (!mayRetryAtAll(entry) || entry.retriesAfterRejection >= maximumRetriesAfterRejection)
                return false;
            ++entry.retriesAfterRejection;
            return true;
        }
        if (!entry.context.retriesLeft)
            return false;
        --entry.context.retriesLeft;
        ++entry.retriesUsed;
        return true;
    }

    void refundToEntry(const RequestId& id, Reason reason)
    {
        board.entries().visit(id, [reason](EntryRecord& entry) {
            --entry.retriesHere;
            if (isRejection(reason)) {
                --entry.retriesAfterRejection;
                return;
            }
            ++entry.context.retriesLeft;
            --entry.retriesUsed;
        });
    }

    Duration backoffBefore(uint32_t number)
    {
        const auto doubled = initialBackoff * (uint64_t(1) << std::min(number - 1, 10U));
        return random.jittered(std::min<Duration>(doubled, maximumBackoff), jitterFraction);
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

// Tokens come from first attempts, so that a service that fails every request gets only a fixed fraction of extra load
// and no retry storm.
void Retry::countFirstAttempt(std::string_view service)
{
    const double fraction = m_state->policy().retryFraction;
    m_state->budgets.update(ServiceName(service), [&](State::ServiceBudget& budget) {
        m_state->decay(budget);
        budget.firstAttempts += 1;
        State::topUp(budget, m_state->clock.now(), fraction);
        budget.attemptsInPeriod += 1;
        budget.tokens = std::min(bucketCapacity, budget.tokens + fraction);
    });
}

// Both budgets must have a retry left. The entry's retry is refunded if the service has none.
std::optional<RetryGrant> Retry::acquireRetry(const RequestId& id, std::string_view service, Reason reason)
{
    // 1. The request's own budget.
    auto& counters = m_state->board.counters();
    const auto taken = m_state->takeFromEntry(id, reason);
    if (!taken) {
        counters.add(Counter::RetriesWithoutBudget);
        return std::nullopt;
    }

    // 2. The service's budget.
    if (m_state->strategy == RetryStrategy::Budget && !m_state->takeToken(service, taken->reservedTokens)) {
        m_state->refundToEntry(id, reason);
        counters.add(Counter::RetriesWithoutBudget);
        return std::nullopt;
    }

    // 3. Granted.
    counters.add(Counter::RetriesSpent);
    counters.addRetry(reason);
    return RetryGrant { taken->number, m_state->backoffBefore(taken->number) };
}

// The entry does not retry while an attempt is running, so the attempt gets the budget. One retry stays behind, because
// a lost attempt never returns the retries lent to it.
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

// An attempt without an answer may have used all retries lent to it, so they all count as spent.
void Retry::returnFromAttempt(const RequestId& id, uint32_t lent, std::optional<uint32_t> used)
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

// Half, rounded up: in a deep chain of single calls each still gets a retry, and concurrent calls do not starve.
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

// The retries that a call used reach the caller's entry with the answer, through AttemptRecord::retriesUsed.
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

// Grows with the recent fraction of refused requests, so that callers retry when there is capacity for them.
Duration Retry::retryAfter(std::string_view service, Reason)
{
    const double refused = m_state->budgets.update(ServiceName(service), [&](State::ServiceBudget& budget) {
        m_state->decay(budget);
        budget.refusals += 1;
        return std::min(1.0, budget.refusals / std::max(1.0, budget.firstAttempts + budget.refusals));
    });
    const auto range = std::chrono::duration<double>(maximumRetryAfter - minimumRetryAfter);
    const auto base = minimumRetryAfter + std::chrono::duration_cast<Duration>(range * refused * refused);
    return m_state->random.jittered(base, jitterFraction);
}

Duration Retry::retryAfterForTarget(Duration targetLatency)
{
    const auto delay = static_cast<double>(targetLatency.count()) * targetLatencyFraction;
    return m_state->random.jittered(Duration(static_cast<Duration::rep>(delay)), targetJitterFraction);
}

} // namespace Vanillaridge

/// Retry budgets that bound retries end to end: one per caller request, shared by all calls it causes, and one per
/// service.
///
/// The budget of a request is divided among its calls, never copied. An entry holds it in
/// EntryRecord::context.retriesLeft. While an attempt is running, all but one of the entry's retries are lent to it and
/// held in AttemptRecord::context.retriesLeft at the guard. Each call that the backend server makes takes a share of
/// these into its own entry and returns what it did not use. With R retries per request, depth d and retry fraction p,
/// a service at depth d gets at most min(1 + R, (1 + p)^d) attempts per first attempt, plus the fixed capacity of each
/// token bucket.
///
/// A request that the backend server itself has rejected has not run, and may be repeated beyond R: only the service's
/// bucket bounds that. While a service rejects more than its budget can retry, callers' requests take precedence over
/// calls made by running requests, and among those the calls of the same whole requests, by rank and tree: one that
/// needs several answers completes only if all its rejected calls are repeated.
#pragma once

#include "board/Board.h"

namespace Vanillaridge {

/// Permission for one retry.
struct RetryGrant {
    /// Number of the new attempt.
    uint32_t number { 0 };
    /// Backoff before the attempt, with jitter.
    Duration delay { 0 };
};

/// How retries are bounded. Production uses Budget. NoBudget gives each entry policy.retriesPerRequest retries of its
/// own and serves as a baseline for measurements.
enum class RetryStrategy : uint8_t { Budget, NoBudget };

class Retry {
public:
    Retry(Board&, Clock&, RandomSource&, RetryStrategy = RetryStrategy::Budget);
    ~Retry();

    /// Counts a first attempt, which adds a fraction of a retry to the service's budget.
    void countFirstAttempt(std::string_view service);
    /// Takes one retry from both the entry's and the service's budget. Returns nothing if either is exhausted, if a
    /// retry cannot help or would be unsafe, or if downstream calls have already retried for this cause. The entry must
    /// hold its budget again: call this after returnFromAttempt().
    std::optional<RetryGrant> acquireRetry(const RequestId&, std::string_view service, Reason);

    /// Takes all but one of the entry's retries, to be sent with an attempt in RequestContext::retriesLeft.
    uint32_t lendToAttempt(const RequestId&);
    /// Returns an attempt's unused retries to the entry. `used` is the count reported in the answer; without an answer
    /// pass nothing, and all lent retries count as used. For an attempt that was never sent pass 0.
    void returnFromAttempt(const RequestId&, uint32_t lent, std::optional<uint32_t> used);

    /// Takes a call's share from the running attempt that makes it, for the call's EntryRecord: half of the remaining
    /// retries, rounded up, so that concurrent calls do not starve each other.
    uint32_t lendToChild(const AttemptId& parent);
    /// Returns the call's unused retries to the attempt and adds the used ones to the attempt's count.
    void returnFromChild(const AttemptId& parent, uint32_t lent, uint32_t used);

    /// Delay after which a refused caller should retry, with jitter so that callers do not retry in lockstep.
    Duration retryAfter(std::string_view service, Reason);
    /// As retryAfter(), for requests with a target latency: short enough that the retry can still meet the target.
    Duration retryAfterForTarget(Duration targetLatency);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Vanillaridge

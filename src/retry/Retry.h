/// Retries bounded end to end: one budget for a caller's request and all calls it causes, and one per service.
///
/// The budget of a request is spent rather than copied. An entry holds it in EntryRecord::context.retriesLeft. While an
/// attempt is under way all but one of the entry's retries are lent to it and lie in AttemptRecord::context.retriesLeft
/// at the guard; each call that the backend server makes takes its share from there into its own entry, and gives back
/// what it did not use. With R retries per request, depth d and retry fraction p, a service at depth d gets at most
/// min(1 + R, (1 + p)^d) tries per first try, beside the constant reserve of each bucket. While a service rejects more
/// than its budget can retry, callers' requests go before calls of requests that run.
#pragma once

#include "board/Board.h"

namespace Vanillaridge {

/// Leave for one further try.
struct RetryGrant {
    /// Number of the new attempt.
    uint32_t number { 0 };
    /// How long to wait before it, jittered.
    Duration delay { 0 };
};

/// Ways to bound retries. Budget is the product's; NoBudget allows each entry policy.retriesPerRequest of its own and
/// is a baseline for measurement.
enum class RetryStrategy : uint8_t { Budget, NoBudget };

class Retry {
public:
    Retry(Board&, Clock&, RandomSource&, RetryStrategy = RetryStrategy::Budget);
    ~Retry();

    /// Counts a first try towards the service's budget.
    void noteFirstTry(std::string_view service);
    /// Takes one retry out of the entry's budget and the service's; nothing when either is spent, when another try
    /// cannot help or would not be safe, or when calls further down have already retried for this cause. The entry
    /// must hold its budget: call after collect().
    std::optional<RetryGrant> mayRetry(const RequestId&, std::string_view service, Reason);

    /// Takes all but one of the entry's retries, to be sent along with an attempt in RequestContext::retriesLeft.
    uint32_t lendToAttempt(const RequestId&);
    /// Puts back into the entry what an attempt has left: `used` is what the answer told. Without an answer (nothing)
    /// the loan counts as used; of an attempt that was never sent, 0 was.
    void collect(const RequestId&, uint32_t lent, std::optional<uint32_t> used);

    /// Takes a call's share out of the running attempt that makes it, for the call's EntryRecord: half of what is
    /// left, rounded up, so that calls made side by side each find something.
    uint32_t lendToChild(const AttemptId& parent);
    /// Gives back what the call did not use, and notes what it did.
    void returnFromChild(const AttemptId& parent, uint32_t lent, uint32_t used);

    /// When a caller who is refused for this reason should come again, jittered so that callers do not come together.
    Duration retryAfter(std::string_view service, Reason);
    /// The same where an answer has its full worth within a target only: soon enough that the second try can still
    /// make it.
    Duration retryWithin(Duration targetLatency);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Vanillaridge

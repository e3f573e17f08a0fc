/// Admission control for the backend servers local to this node: which attempts start, wait briefly or are refused.
///
/// Decides from the board only. Each local backend server has a gate with an adaptive concurrency limit, a short
/// priority queue, and a budget of requests per second that determines the shed level. Nothing blocks, and no lock is
/// held while calling out. All functions are thread-safe.
#pragma once

#include "board/Board.h"

namespace Vanillaridge {

/// Result of offering an attempt.
enum class AdmissionVerdict : uint8_t {
    /// Start now; the caller must call `finished` afterwards.
    Admitted,
    /// Queued; exactly one AdmissionChange follows, unless `abandon` is called first.
    Waiting,
    /// Must not run.
    Refused,
};

struct AdmissionDecision {
    AdmissionVerdict verdict { AdmissionVerdict::Refused };
    /// Cause of a refusal; None otherwise.
    Reason reason { Reason::None };
    /// Delay before a retry; 0 when not refused.
    Duration retryAfter { 0 };
    /// Service time at the backend server that the gate expected when it decided; 0 if unknown.
    Duration expected { 0 };
};

/// Decision on a waiting attempt: Admitted or Refused.
struct AdmissionChange {
    AttemptId attempt;
    ServiceName service;
    AdmissionDecision decision;
};

/// How an admitted attempt completed, as far as load is concerned.
enum class CompletionStatus : uint8_t {
    /// The backend server answered.
    Served,
    /// The attempt failed for a cause other than load.
    Failed,
    /// The attempt was cancelled or reached its deadline before the answer.
    Cancelled,
    /// The backend server signalled overload (429, 503 or a refused connection).
    Overloaded,
};

/// Cause of the last change to a backend server's concurrency limit.
enum class LimitCause : uint8_t { None, Rejections, Latency, Growth };
std::string_view toText(LimitCause);

/// What determined a backend server's current concurrency limit.
struct LimitReport {
    LimitCause cause { LimitCause::None };
    /// Share of the attempts completed in the last window that the backend server rejected.
    double rejectedShare { 0 };
};

/// Admission control strategies. Production uses Adaptive; the others are baselines for measurement.
enum class AdmissionStrategy : uint8_t {
    Adaptive,
    NoControl,
    StaticLimit,
    QueueDelay,
    /// Like Adaptive, but ignores the load of downstream services.
    AdaptiveLocal,
};

class Admission {
public:
    Admission(Board&, Clock&, RandomSource&, AdmissionStrategy = AdmissionStrategy::Adaptive);
    ~Admission();

    /// Decides on a new attempt for a local backend server. An attempt that is offered twice is refused as Duplicate.
    AdmissionDecision offer(const RequestContext&, Instant deadline);
    /// Frees the slot of an admitted attempt; ignores unknown attempts. Call processQueues() next.
    void finished(std::string_view service, const AttemptId&, CompletionStatus);
    /// Removes a waiting attempt whose caller has gone away; no change is reported for it.
    void abandon(std::string_view service, const AttemptId&);
    /// Starts or refuses waiting attempts. Call after finished() and every few milliseconds.
    std::vector<AdmissionChange> processQueues();

    /// Load of a backend server over all accounts.
    LoadFeedback feedback(std::string_view service) const;
    /// Load as it affects requests like this one, to be sent with each answer. Its shedLevel is that of the request's
    /// account and includes the load shedding of downstream services that the route calls, and the lag of this node.
    LoadFeedback feedback(const RequestContext&) const;
    /// For logs and metrics; empty before the service's first attempt.
    LimitReport limitReport(std::string_view service) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Vanillaridge

/// Admission before the backend servers beside this node: who starts now, who waits briefly, who is refused.
///
/// A pure decision over the board: each local backend server has a gate with an adaptive concurrency limit, a short
/// queue ordered by worth, and a budget of requests per second from which the shed level follows. Nothing blocks, and
/// no lock is held while calling out. All functions may be called from several threads at once.
#pragma once

#include "board/Board.h"

namespace Vanillaridge {

/// What an offer leads to.
enum class AdmissionVerdict : uint8_t {
    /// Start now; `finished` must follow.
    Admitted,
    /// Keep it; exactly one AdmissionChange will follow, unless `abandon` comes first.
    Waiting,
    /// Not run.
    Refused,
};

struct AdmissionDecision {
    AdmissionVerdict verdict { AdmissionVerdict::Refused };
    /// Why it is refused; None otherwise.
    Reason reason { Reason::None };
    /// When to try again; 0 when not refused.
    Duration retryAfter { 0 };
    /// Time at the backend server that the gate expected it to need when it decided; 0 when nothing was known.
    Duration expected { 0 };
};

/// What became of an attempt that was told to wait: Admitted or Refused.
struct AdmissionChange {
    AttemptId attempt;
    ServiceName service;
    AdmissionDecision decision;
};

/// How an admitted attempt ended, as far as load is concerned.
enum class AdmittedEnd : uint8_t {
    /// The backend server answered.
    Served,
    /// It failed for a cause other than load.
    Failed,
    /// It was cancelled or its time ran out before the answer.
    Cancelled,
    /// The backend server itself signalled overload (429, 503 or a refused connection).
    Overloaded,
};

/// What last moved the concurrency limit of a backend server.
enum class LimitCause : uint8_t { None, Rejections, Latency, Growth };
std::string_view toText(LimitCause);

/// How a backend server's concurrency limit came to be what it is.
struct LimitReport {
    LimitCause cause { LimitCause::None };
    /// Share of the attempts that the backend server rejected, of those that ended in the last window.
    double rejectedShare { 0 };
};

/// Ways to control admission. Adaptive is the product's; the others are baselines for measurement.
enum class AdmissionStrategy : uint8_t {
    Adaptive,
    NoControl,
    StaticLimit,
    QueueDelay,
    /// Like Adaptive, but without regard to loads further down.
    AdaptiveAlone,
};

class Admission {
public:
    Admission(Board&, Clock&, RandomSource&, AdmissionStrategy = AdmissionStrategy::Adaptive);
    ~Admission();

    /// Decides on a new attempt for a backend server beside this node. An attempt that is offered twice is refused
    /// as Duplicate.
    AdmissionDecision offer(const RequestContext&, Instant deadline);
    /// Frees the slot of an admitted attempt; unknown attempts are ignored. Call settle() next.
    void finished(std::string_view service, const AttemptId&, AdmittedEnd);
    /// The caller has left while its attempt waits: no change will be reported for it.
    void abandon(std::string_view service, const AttemptId&);
    /// Decides on waiting attempts: which of them start, and which are refused. To be called after finished() and
    /// every few milliseconds.
    std::vector<AdmissionChange> settle();

    /// The load of one backend server, all accounts taken together.
    LoadFeedback feedback(std::string_view service) const;
    /// The load as it concerns requests like this one: its shedLevel is that of the request's account, and takes in
    /// what is shed by services that requests of this route go on to call, and the lag of this node. To be sent with
    /// each answer.
    LoadFeedback feedback(const RequestContext&) const;
    /// For logs and metrics; empty while no attempt came for the service.
    LimitReport limitReport(std::string_view service) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Vanillaridge

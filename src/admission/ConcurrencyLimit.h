/// Adaptive concurrency limit of a backend server, based on its latency and its overload signals.
#pragma once

#include "admission/Admission.h"

namespace Vanillaridge {

/// Starts at the ceiling declared for the backend server and goes below it only if a trial shows that lower concurrency
/// reduces rejections or latency. Rejections or higher latency alone are no evidence, since a server may reject a share
/// of all requests, or have slower work to do, at any concurrency. Not thread-safe; protected by the gate's lock.
class ConcurrencyLimit {
public:
    /// Sets the ceiling and the slow start that ramps up the limit after a cold start.
    void configure(uint32_t slots, Instant coldStartAt, Duration slowStart);
    uint32_t current(Instant) const;
    /// Records a completed attempt, its service time, and the number of attempts that were running.
    void recordCompletion(CompletionStatus, Duration serviceTime, uint32_t running);
    /// Call every few milliseconds; `saturated` says whether the limit is holding requests back.
    void update(Instant, bool saturated);
    const LimitReport& report() const { return m_report; }

private:
    struct Window {
        Instant since;
        uint32_t completions { 0 };
        uint32_t rejections { 0 };
        Duration latencySum { 0 };
        uint32_t leastRunningAtRejection { 0 };
        uint32_t saturatedUpdates { 0 };
        uint32_t updates { 0 };
    };
    // Signals that may indicate that a lower limit is better.
    enum class Signal : uint8_t { Rejections, Latency };
    enum class Trial : uint8_t { None, Settling, Measuring };
    // How a signal is measured (lower is better) and evaluated.
    struct SignalRow {
        double (ConcurrencyLimit::*measured)() const;
        bool (ConcurrencyLimit::*isElevated)() const;
        double (ConcurrencyLimit::*limitForTrial)(Instant) const;
        // A trial succeeds if it reduces the measured value to this share.
        double successShare;
        LimitCause cause;
    };
    // Earliest next trial of a signal, its backoff, and the measured value that a lower limit did not reduce.
    struct TrialHistory {
        Instant nextTrial;
        Duration backoff { 0 };
        double loadIndependent { 0 };
    };
    static const std::array<SignalRow, 2> signals;

    double rejectionOdds() const;
    double meanLatency() const;
    bool hasManyRejections() const;
    bool hasHighLatency() const;
    double limitWithoutRejections(Instant) const;
    double limitSlightlyLower(Instant) const;

    void closeWindow(Instant);
    void updateBaseline();
    TrialHistory& historyOf(Signal signal) { return m_trialHistory[static_cast<size_t>(signal)]; }
    bool startTrial(Instant, Signal);
    void evaluateTrial(Instant);
    void grow(double factor);

    double m_ceiling { 1 };
    double m_limit { 0 };
    Instant m_coldStartAt;
    Duration m_slowStart { 0 };
    Window m_window;
    double m_baseline { 0 }; // seconds
    Instant m_rejectedAt;
    std::array<TrialHistory, 2> m_trialHistory;
    Trial m_trial { Trial::None };
    Signal m_trialSignal { Signal::Rejections };
    double m_limitBeforeTrial { 0 };
    double m_measuredBeforeTrial { 0 };
    LimitReport m_report;
};

} // namespace Vanillaridge

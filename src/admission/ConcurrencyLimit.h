/// How many requests a backend server may work on at once, learnt from its latency and its own overload signals.
#pragma once

#include "admission/Admission.h"

namespace Vanillaridge {

/// Starts at the ceiling, which is what the backend server declared, and goes below it only where a trial shows that it
/// does better when fewer run at once: that it rejects fewer of its requests, or answers them sooner. Neither
/// rejections nor a longer latency alone are evidence, since a server may reject a share of all requests, or have
/// slower work to do, however few run. Not safe for several threads; its gate's lock protects it.
class ConcurrencyLimit {
public:
    /// Ceiling, and how the backend server may be ramped up after a cold start.
    void configure(uint32_t slots, Instant coldSince, Duration slowStart);
    uint32_t current(Instant) const;
    /// Notes an attempt's end, its time at the backend server, and how many were running.
    void noteEnd(AdmittedEnd, Duration serviceTime, uint32_t running);
    /// To be called every few milliseconds; `saturated` tells whether the limit holds requests back.
    void update(Instant, bool saturated);
    const LimitReport& report() const { return m_report; }

private:
    struct Window {
        Instant since;
        uint32_t ends { 0 };
        uint32_t rejections { 0 };
        Duration latencySum { 0 };
        uint32_t leastRunningAtRejection { 0 };
        uint32_t saturatedUpdates { 0 };
        uint32_t updates { 0 };
    };
    // What may speak for a lower limit.
    enum class Signal : uint8_t { Rejections, Latency };
    enum class Trial : uint8_t { None, Settling, Measuring };
    // How a signal is measured, where less is better, and judged.
    struct SignalRow {
        double (ConcurrencyLimit::*measured)() const;
        bool (ConcurrencyLimit::*isSuspicious)() const;
        double (ConcurrencyLimit::*limitForTrial)(Instant) const;
        // Share of what was measured before to which a trial has to bring it.
        double shareAfterTrial;
        LimitCause cause;
    };
    // When a signal may be tried again, and what a lower limit did not better.
    struct Findings {
        Instant nextTrial;
        Duration pause { 0 };
        double unexplained { 0 };
    };
    static const std::array<SignalRow, 2> signals;

    double rejectionOdds() const;
    double meanLatency() const;
    bool rejectsMany() const;
    bool takesLong() const;
    double limitWithoutRejections(Instant) const;
    double limitSlightlyLower(Instant) const;

    void closeWindow(Instant);
    void noteBaseline();
    Findings& findingsOf(Signal signal) { return m_findings[static_cast<size_t>(signal)]; }
    bool startTrial(Instant, Signal);
    void judgeTrial(Instant);
    void grow(double factor);

    double m_ceiling { 1 };
    double m_limit { 0 };
    Instant m_coldSince;
    Duration m_slowStart { 0 };
    Window m_window;
    double m_baseline { 0 }; // seconds
    Instant m_rejectedAt;
    std::array<Findings, 2> m_findings;
    Trial m_trial { Trial::None };
    Signal m_tried { Signal::Rejections };
    double m_limitBeforeTrial { 0 };
    double m_measuredBeforeTrial { 0 };
    LimitReport m_report;
};

} // namespace Vanillaridge

/// How many requests a backend server may work on at once, learnt from its latency and its own overload signals.
#pragma once

#include "admission/Admission.h"

namespace Vanillaridge {

/// Starts at the ceiling, which is what the backend server declared, and goes below it only on evidence: overload
/// signals, or a latency above its baseline together with a trial that shows that it falls when fewer run at once.
/// A longer latency alone is no evidence, since a server may simply have slower work to do.
/// Not safe for several threads; its gate's lock protects it.
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
        uint32_t overloads { 0 };
        Duration latencySum { 0 };
        uint32_t leastRunningAtOverload { 0 };
        uint32_t saturatedUpdates { 0 };
        uint32_t updates { 0 };
    };
    enum class Trial : uint8_t { None, Settling, Measuring };

    void closeWindow(Instant);
    void judgeTrial(Instant, Duration latency);
    void startTrial(Duration latency);
    void grow(double factor);

    double m_ceiling { 1 };
    double m_limit { 0 };
    Instant m_coldSince;
    Duration m_slowStart { 0 };
    Window m_window;
    Duration m_baseline { 0 };
    Instant m_overloadedAt;
    Trial m_trial { Trial::None };
    double m_limitBeforeTrial { 0 };
    Duration m_latencyBeforeTrial { 0 };
    Instant m_nextTrial;
    Duration m_trialPause { 0 };
    LimitReport m_report;
};

} // namespace Vanillaridge

#include "admission/ConcurrencyLimit.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    // A window closes when it is so long and has as many ends as fill the slots a few times, or at its longest. That is
    // longer while rejections are too few to be told from chance.
    constexpr Duration shortestWindow = milliseconds(100);
    constexpr Duration longestWindow = seconds(1);
    constexpr Duration longestWithRejections = seconds(4);
    constexpr double turnsPerWindow = 4;
    constexpr double fewestEnds = 50;
    constexpr double mostEnds = 200;
    // Share of the ceiling below which the limit never goes.
    constexpr double floorFraction = 0.05;
    // Rejections in a window from which on they can be told from chance.
    constexpr uint32_t manyRejections = 10;
    // Rejections that a lower limit did not better are tried again at once when there are so many times as many.
    constexpr double worseThanUnexplained = 2;
    // Odds that stand for rejections of everything.
    constexpr double allRejected = 1e6;
    // Slow growth for some time after a trial for rejections.
    constexpr Duration rejectionMemory = seconds(2);
    constexpr double slowGrowth = 1.02;
    constexpr double fastGrowth = 1.25;
    // Latency over baseline that makes a trial worth while, and the baseline's drift per window.
    constexpr double suspiciousLatency = 1.5;
    constexpr double baselineDrift = 1.02;
    // What a trial lowers the limit to, as a share of the limit, or of what the server has taken at once.
    constexpr double trialFraction = 0.9;
    // A trial succeeds if it leaves this of the rejections, or of the latency.
    constexpr double rejectionsAfterTrial = 0.5;
    constexpr double latencyAfterTrial = 0.95;
    constexpr Duration firstTrialPause = seconds(4);
    constexpr Duration longestTrialPause = seconds(32);
    // Share of the ceiling that a backend server starts with after a cold start.
    constexpr double coldFraction = 0.2;

} // namespace

// Rows in the order of Signal.
const std::array<ConcurrencyLimit::SignalRow, 2> ConcurrencyLimit::signals { {
    { &ConcurrencyLimit::rejectionOdds, &ConcurrencyLimit::rejectsMany, &ConcurrencyLimit::limitWithoutRejections,
        rejectionsAfterTrial, LimitCause::Rejections },
    { &ConcurrencyLimit::meanLatency, &ConcurrencyLimit::takesLong, &ConcurrencyLimit::limitSlightlyLower,
        latencyAfterTrial, LimitCause::Latency },
} };

void ConcurrencyLimit::configure(uint32_t slots, Instant coldSince, Duration slowStart)
{
    const double ceiling = std::max(1U, slots);
    if (ceiling != m_ceiling || m_limit <= 0) {
        m_limit = m_limit <= 0 ? ceiling : std::min(m_limit, ceiling);
        m_ceiling = ceiling;
    }
    m_coldSince = coldSince;
    m_slowStart = slowStart;
}

// Rises evenly from a small share to all of the limit while the backend server warms up.
uint32_t ConcurrencyLimit::current(Instant now) const
{
    double share = 1;
    if (m_slowStart > Duration(0) && now < m_coldSince + m_slowStart) {
        const double age = static_cast<double>((now - m_coldSince).count()) / static_cast<double>(m_slowStart.count());
        share = coldFraction + (1 - coldFraction) * std::clamp(age, 0.0, 1.0);
    }
    return std::max(1U, static_cast<uint32_t>(m_limit * share));
}

void ConcurrencyLimit::noteEnd(AdmittedEnd end, Duration serviceTime, uint32_t running)
{
    if (end == AdmittedEnd::Overloaded) {
        if (!m_window.rejections || running < m_window.leastRunningAtRejection)
            m_window.leastRunningAtRejection = running;
        ++m_window.rejections;
        return;
    }
    ++m_window.ends;
    m_window.latencySum += serviceTime;
}

void ConcurrencyLimit::update(Instant now, bool saturated)
{
    ++m_window.updates;
    m_window.saturatedUpdates += saturated;
    const auto age = now - m_window.since;
    const double enough = std::clamp(turnsPerWindow * m_limit, fewestEnds, mostEnds);
    const bool isFilled = m_window.ends + m_window.rejections >= enough;
    const bool hasFewRejections = m_trial == Trial::None && m_window.rejections > 0 && !rejectsMany();
    const auto longest = hasFewRejections ? longestWithRejections : longestWindow;
    if (age < shortestWindow || (!isFilled && age < longest))
        return;
    closeWindow(now);
    m_window = { .since = now };
}

void ConcurrencyLimit::closeWindow(Instant now)
{
    const uint32_t all = m_window.ends + m_window.rejections;
    if (!all)
        return;
    m_report.rejectedShare = double(m_window.rejections) / all;
    noteBaseline();

    // 1. A trial under way goes on; otherwise one may begin.
    auto& rejections = findingsOf(Signal::Rejections);
    if (m_trial != Trial::None) {
        judgeTrial(now);
        return;
    }
    if (startTrial(now, Signal::Rejections))
        return;
    if (!m_window.rejections)
        rejections = {};
    const bool saturated = 2 * m_window.saturatedUpdates > m_window.updates;
    if (!saturated || startTrial(now, Signal::Latency))
        return;

    // 2. The limit grows unless it may be what causes rejections or latency.
    const bool maybeForLoad = rejectsMany() && rejectionOdds() > worseThanUnexplained * rejections.unexplained;
    if (m_window.ends && !maybeForLoad && !takesLong())
        grow(now - m_rejectedAt < rejectionMemory ? slowGrowth : fastGrowth);
}

// The shortest latency of late; it drifts up so that it forgets.
void ConcurrencyLimit::noteBaseline()
{
    if (!m_window.ends)
        return;
    const double mean = meanLatency();
    m_baseline = m_baseline > 0 ? std::min(mean, m_baseline * baselineDrift) : mean;
}

// --- Signals --------------------------------------------------------------------------------------------------------

// Rejections for each request that was taken: how many more are sent than there is room for, whatever the limit.
double ConcurrencyLimit::rejectionOdds() const
{
    if (!m_window.ends)
        return m_window.rejections ? allRejected : 0;
    return double(m_window.rejections) / m_window.ends;
}

double ConcurrencyLimit::meanLatency() const
{
    return m_window.ends ? inSeconds(m_window.latencySum) / m_window.ends : 0;
}

bool ConcurrencyLimit::rejectsMany() const { return m_window.rejections >= manyRejections; }

bool ConcurrencyLimit::takesLong() const { return meanLatency() > suspiciousLatency * m_baseline; }

// What the backend server had at work at once, by Little's law; where it took nothing, what ran when it rejected.
double ConcurrencyLimit::limitWithoutRejections(Instant now) const
{
    const double atWork = inSeconds(m_window.latencySum) / inSeconds(now - m_window.since);
    return trialFraction * (m_window.ends ? atWork : double(m_window.leastRunningAtRejection));
}

double ConcurrencyLimit::limitSlightlyLower(Instant) const { return trialFraction * m_limit; }

// --- Trials ---------------------------------------------------------------------------------------------------------

bool ConcurrencyLimit::startTrial(Instant now, Signal signal)
{
    const auto& row = signals[static_cast<size_t>(signal)];
    const auto& findings = findingsOf(signal);
    const double measured = (this->*row.measured)();
    const bool isDue = now >= findings.nextTrial || measured > worseThanUnexplained * findings.unexplained;
    if (!isDue || !(this->*row.isSuspicious)())
        return false;
    m_tried = signal;
    m_trial = Trial::Settling;
    m_limitBeforeTrial = m_limit;
    m_measuredBeforeTrial = measured;
    const double lower = std::max({ 1.0, m_ceiling * floorFraction, (this->*row.limitForTrial)(now) });
    m_limit = std::min(m_limit, lower);
    m_report.cause = row.cause;
    if (signal == Signal::Rejections)
        m_rejectedAt = now;
    return true;
}

// The first window after the change still holds attempts from before it, so the second one counts.
void ConcurrencyLimit::judgeTrial(Instant now)
{
    if (m_trial == Trial::Settling) {
        m_trial = Trial::Measuring;
        return;
    }
    m_trial = Trial::None;
    const auto& row = signals[static_cast<size_t>(m_tried)];
    auto& findings = findingsOf(m_tried);
    const double measured = (this->*row.measured)();
    if (measured <= row.shareAfterTrial * m_measuredBeforeTrial) {
        findings = {};
        return;
    }
    m_limit = std::min(m_ceiling, m_limitBeforeTrial);
    m_report.cause = LimitCause::None;
    findings.unexplained = std::max(measured, m_measuredBeforeTrial);
    findings.pause = std::clamp<Duration>(findings.pause * 2, firstTrialPause, longestTrialPause);
    findings.nextTrial = now + findings.pause;
}

void ConcurrencyLimit::grow(double factor)
{
    if (m_limit >= m_ceiling)
        return;
    m_limit = std::min(m_ceiling, std::max(m_limit + 1, m_limit * factor));
    m_report.cause = LimitCause::Growth;
}

} // namespace Vanillaridge

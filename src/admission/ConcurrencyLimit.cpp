#include "admission/ConcurrencyLimit.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    // A window closes when it has both, or at its longest.
    constexpr Duration shortestWindow = milliseconds(100);
    constexpr Duration longestWindow = seconds(1);
    constexpr uint32_t endsPerWindow = 200;
    // Share of the ceiling below which the limit never goes.
    constexpr double floorFraction = 0.05;
    // Decrease on the backend server's own overload signal, and slow growth for some time after it.
    constexpr double overloadDecrease = 0.9;
    constexpr Duration overloadMemory = seconds(2);
    constexpr double slowGrowth = 1.02;
    constexpr double fastGrowth = 1.25;
    // Latency over baseline that makes a trial worth while, and the baseline's drift per window.
    constexpr double suspiciousLatency = 1.5;
    constexpr double baselineDrift = 1.02;
    // A trial lowers the limit to this share; it succeeds if the latency falls to that one.
    constexpr double trialFraction = 0.9;
    constexpr double latencyAfterTrial = 0.95;
    constexpr Duration firstTrialPause = seconds(4);
    constexpr Duration longestTrialPause = seconds(32);
    // Share of the ceiling that a backend server starts with after a cold start.
    constexpr double coldFraction = 0.2;

} // namespace

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
        if (!m_window.overloads || running < m_window.leastRunningAtOverload)
            m_window.leastRunningAtOverload = running;
        ++m_window.overloads;
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
    if (age < shortestWindow || (m_window.ends < endsPerWindow && age < longestWindow))
        return;
    closeWindow(now);
    m_window = { .since = now };
}

void ConcurrencyLimit::closeWindow(Instant now)
{
    const uint32_t all = m_window.ends + m_window.overloads;
    m_report.rejectedShare = all ? double(m_window.overloads) / all : 0;

    // 1. The backend server's own signal goes before everything.
    if (m_window.overloads) {
        const double running = std::min(m_limit, double(m_window.leastRunningAtOverload));
        m_limit = std::max({ 1.0, m_ceiling * floorFraction, running * overloadDecrease });
        m_report.cause = LimitCause::Rejections;
        m_overloadedAt = now;
        m_trial = Trial::None;
        return;
    }
    if (!m_window.ends)
        return;

    // 2. Latency against its baseline, which drifts up so that it forgets.
    const Duration mean = m_window.latencySum / m_window.ends;
    const auto drifted = Duration(static_cast<Duration::rep>(double(m_baseline.count()) * baselineDrift));
    m_baseline = m_baseline == Duration(0) ? mean : std::min(mean, drifted);
    const bool suspicious = double(mean.count()) > suspiciousLatency * double(m_baseline.count());
    const bool saturated = 2 * m_window.saturatedUpdates > m_window.updates;

    // 3. A trial under way goes on; otherwise one begins, or the limit grows.
    if (m_trial != Trial::None)
        judgeTrial(now, mean);
    else if (saturated && suspicious && now >= m_nextTrial)
        startTrial(mean);
    else if (saturated && !suspicious)
        grow(now - m_overloadedAt < overloadMemory ? slowGrowth : fastGrowth);
}

void ConcurrencyLimit::startTrial(Duration latency)
{
    m_limitBeforeTrial = m_limit;
    m_latencyBeforeTrial = latency;
    m_limit = std::max({ 1.0, m_ceiling * floorFraction, m_limit * trialFraction });
    m_trial = Trial::Settling;
    m_report.cause = LimitCause::Latency;
}

// The first window after the change still holds attempts from before it, so the second one counts.
void ConcurrencyLimit::judgeTrial(Instant now, Duration latency)
{
    if (m_trial == Trial::Settling) {
        m_trial = Trial::Measuring;
        return;
    }
    m_trial = Trial::None;
    if (double(latency.count()) <= latencyAfterTrial * double(m_latencyBeforeTrial.count())) {
        m_trialPause = Duration(0);
        return;
    }
    m_limit = m_limitBeforeTrial;
    m_trialPause = std::clamp<Duration>(m_trialPause * 2, firstTrialPause, longestTrialPause);
    m_nextTrial = now + m_trialPause;
}

void ConcurrencyLimit::grow(double factor)
{
    m_limit = std::min(m_ceiling, std::max(m_limit + 1, m_limit * factor));
    m_report.cause = LimitCause::Growth;
}

} // namespace Vanillaridge

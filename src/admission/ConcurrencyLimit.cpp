#include "admission/ConcurrencyLimit.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    // A window closes at its maximum length, or from the minimum length on once its completions fill the slots a few
    // times. The maximum is longer while rejections are too few to be significant.
    constexpr Duration minimumWindow = milliseconds(100);
    constexpr Duration maximumWindow = seconds(1);
    constexpr Duration maximumWindowWithRejections = seconds(4);
    constexpr double turnoversPerWindow = 4;
    constexpr double minimumCompletions = 50;
    constexpr double maximumCompletions = 200;
    // Lower bound of the limit, as a share of the ceiling.
    constexpr double floorFraction = 0.05;
    // Rejections in a window from which they are statistically significant.
    constexpr uint32_t manyRejections = 10;
    // A value that a lower limit did not reduce is tried again at once when it rises by this factor.
    constexpr double retrialFactor = 2;
    // Odds reported when every request is rejected.
    constexpr double allRejectedOdds = 1e6;
    // The limit grows slowly for this long after a trial for rejections, and fast otherwise.
    constexpr Duration slowGrowthPeriod = seconds(2);
    constexpr double slowGrowth = 1.02;
    constexpr double fastGrowth = 1.25;
    // Ratio of latency to baseline that justifies a trial, and the upward drift of the baseline per window.
    constexpr double elevatedLatencyRatio = 1.5;
    constexpr double baselineDriftFactor = 1.02;
    // Limit during a trial, as a share of the limit before it, or of the concurrency that the server sustained.
    constexpr double trialFraction = 0.9;
    // A trial succeeds if it reduces the rejections or the latency to this share.
    constexpr double rejectionSuccessShare = 0.5;
    constexpr double latencySuccessShare = 0.95;
    constexpr Duration minimumTrialBackoff = seconds(4);
    constexpr Duration maximumTrialBackoff = seconds(32);
    // Share of the limit that applies right after a cold start.
    constexpr double coldFraction = 0.2;

} // namespace

// Rows in the order of Signal.
const std::array<ConcurrencyLimit::SignalRow, 2> ConcurrencyLimit::signals { {
    { &ConcurrencyLimit::rejectionOdds, &ConcurrencyLimit::hasManyRejections, &ConcurrencyLimit::limitWithoutRejections,
        rejectionSuccessShare, LimitCause::Rejections },
    { &ConcurrencyLimit::meanLatency, &ConcurrencyLimit::hasHighLatency, &ConcurrencyLimit::limitSlightlyLower,
        latencySuccessShare, LimitCause::Latency },
} };

void ConcurrencyLimit::configure(uint32_t slots, Instant coldStartAt, Duration slowStart)
{
    const double ceiling = std::max(1U, slots);
    if (ceiling != m_ceiling || m_limit <= 0) {
        m_limit = m_limit <= 0 ? ceiling : std::min(m_limit, ceiling);
        m_ceiling = ceiling;
    }
    m_coldStartAt = coldStartAt;
    m_slowStart = slowStart;
}

// Rises linearly from a small share to the full limit during slow start.
uint32_t ConcurrencyLimit::current(Instant now) const
{
    double share = 1;
    if (m_slowStart > Duration(0) && now < m_coldStartAt + m_slowStart) {
        const double age
            = static_cast<double>((now - m_coldStartAt).count()) / static_cast<double>(m_slowStart.count());
        share = coldFraction + (1 - coldFraction) * std::clamp(age, 0.0, 1.0);
    }
    return std::max(1U, static_cast<uint32_t>(m_limit * share));
}

void ConcurrencyLimit::recordCompletion(CompletionStatus status, Duration serviceTime, uint32_t running)
{
    if (status == CompletionStatus::Overloaded) {
        if (!m_window.rejections || running < m_window.leastRunningAtRejection)
            m_window.leastRunningAtRejection = running;
        ++m_window.rejections;
        return;
    }
    ++m_window.completions;
    m_window.latencySum += serviceTime;
}

void ConcurrencyLimit::update(Instant now, bool saturated)
{
    ++m_window.updates;
    m_window.saturatedUpdates += saturated;
    const auto age = now - m_window.since;
    const double neededCompletions = std::clamp(turnoversPerWindow * m_limit, minimumCompletions, maximumCompletions);
    const bool isFilled = m_window.completions + m_window.rejections >= neededCompletions;
    const bool hasFewRejections = m_trial == Trial::None && m_window.rejections > 0 && !hasManyRejections();
    const auto longest = hasFewRejections ? maximumWindowWithRejections : maximumWindow;
    if (age < minimumWindow || (!isFilled && age < longest))
        return;
    closeWindow(now);
    m_window = { .since = now };
}

void ConcurrencyLimit::closeWindow(Instant now)
{
    const uint32_t all = m_window.completions + m_window.rejections;
    if (!all)
        return;
    m_report.rejectedShare = double(m_window.rejections) / all;
    updateBaseline();

    // 1. Continue a running trial, or start one.
    auto& rejections = historyOf(Signal::Rejections);
    if (m_trial != Trial::None) {
        evaluateTrial(now);
        return;
    }
    if (startTrial(now, Signal::Rejections))
        return;
    if (!m_window.rejections)
        rejections = {};
    const bool saturated = 2 * m_window.saturatedUpdates > m_window.updates;
    if (!saturated || startTrial(now, Signal::Latency))
        return;

    // 2. Grow the limit unless concurrency may be the cause of rejections or latency.
    const bool maybeLoadRelated = hasManyRejections() && rejectionOdds() > retrialFactor * rejections.loadIndependent;
    if (m_window.completions && !maybeLoadRelated && !hasHighLatency())
        grow(now - m_rejectedAt < slowGrowthPeriod ? slowGrowth : fastGrowth);
}

// Tracks the lowest recent latency; the upward drift lets old minima expire.
void ConcurrencyLimit::updateBaseline()
{
    if (!m_window.completions)
        return;
    const double mean = meanLatency();
    m_baseline = m_baseline > 0 ? std::min(mean, m_baseline * baselineDriftFactor) : mean;
}

// Rejections per accepted request: the excess over the server's capacity, independent of the limit.
double ConcurrencyLimit::rejectionOdds() const
{
    if (!m_window.completions)
        return m_window.rejections ? allRejectedOdds : 0;
    return double(m_window.rejections) / m_window.completions;
}

double ConcurrencyLimit::meanLatency() const
{
    return m_window.completions ? inSeconds(m_window.latencySum) / m_window.completions : 0;
}

bool ConcurrencyLimit::hasManyRejections() const { return m_window.rejections >= manyRejections; }

bool ConcurrencyLimit::hasHighLatency() const { return meanLatency() > elevatedLatencyRatio * m_baseline; }

// Concurrency at the backend server by Little's law; if it accepted nothing, the lowest concurrency at a rejection.
double ConcurrencyLimit::limitWithoutRejections(Instant now) const
{
    const double concurrency = inSeconds(m_window.latencySum) / inSeconds(now - m_window.since);
    return trialFraction * (m_window.completions ? concurrency : double(m_window.leastRunningAtRejection));
}

double ConcurrencyLimit::limitSlightlyLower(Instant) const { return trialFraction * m_limit; }

bool ConcurrencyLimit::startTrial(Instant now, Signal signal)
{
    const auto& row = signals[static_cast<size_t>(signal)];
    const auto& history = historyOf(signal);
    const double measured = (this->*row.measured)();
    const bool isDue = now >= history.nextTrial || measured > retrialFactor * history.loadIndependent;
    if (!isDue || !(this->*row.isElevated)())
        return false;
    m_trialSignal = signal;
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

// The first window after the change still includes attempts from before it, so the second one is evaluated.
void ConcurrencyLimit::evaluateTrial(Instant now)
{
    if (m_trial == Trial::Settling) {
        m_trial = Trial::Measuring;
        return;
    }
    m_trial = Trial::None;
    const auto& row = signals[static_cast<size_t>(m_trialSignal)];
    auto& history = historyOf(m_trialSignal);
    const double measured = (this->*row.measured)();
    if (measured <= row.successShare * m_measuredBeforeTrial) {
        history = {};
        return;
    }
    m_limit = std::min(m_ceiling, m_limitBeforeTrial);
    m_report.cause = LimitCause::None;
    history.loadIndependent = std::max(measured, m_measuredBeforeTrial);
    history.backoff = std::clamp<Duration>(history.backoff * 2, minimumTrialBackoff, maximumTrialBackoff);
    history.nextTrial = now + history.backoff;
}

void ConcurrencyLimit::grow(double factor)
{
    if (m_limit >= m_ceiling)
        return;
    m_limit = std::min(m_ceiling, std::max(m_limit + 1, m_limit * factor));
    m_report.cause = LimitCause::Growth;
}

} // namespace Vanillaridge

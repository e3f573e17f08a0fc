#include "drain/Drain.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    // How long a leaving node serves as before. All nodes know within 1.5 s at the design size that it is leaving
    // (docs/design/membership.md), and two readiness checks, one second apart, have failed by the end of this time.
    constexpr Duration announcementTime = milliseconds(2500);
    // Minimum time for sending the last messages.
    constexpr Duration minimumLeavingTime = milliseconds(300);
    // Part of the grace that is kept for the end of the process: the last messages, and a late event loop. Running
    // requests must be waited for up to the last sixth of the grace, so a short grace keeps a smaller part.
    constexpr Duration reservedForExit = milliseconds(800);
    constexpr int reservedShareNumerator = 2;
    constexpr int reservedShareDenominator = 15;

    Duration reservedOf(Duration grace)
    {
        return std::min(reservedForExit, grace * reservedShareNumerator / reservedShareDenominator);
    }

    // The last messages take no more than half of what is kept for the exit.
    Duration leavingTimeWithin(Duration grace)
    {
        return grace > Duration(0) ? std::min(minimumLeavingTime, reservedOf(grace) / 2) : minimumLeavingTime;
    }

    // A grace too short for the whole announcement is shared evenly with the requests that run.
    Duration announcementTimeWithin(Duration grace)
    {
        return grace > Duration(0) ? std::min(announcementTime, grace / 2) : announcementTime;
    }

    Duration limitOf(const StopLimits& limits)
    {
        const auto limit = announcementTimeWithin(limits.grace) + limits.drain;
        return limits.grace > Duration(0) ? std::min(limit, limits.grace - reservedOf(limits.grace)) : limit;
    }

    constexpr std::array<std::string_view, stopStepCount> stepNames { "node-draining", "node-refuses-new-work",
        "node-takes-nothing-new", "node-leaves", "node-ends" };

} // namespace

std::string_view toText(StopStep step) { return stepNames[static_cast<size_t>(step)]; }

Drain::Drain(Board& board, const Clock& clock, StopLimits limits)
    : m_board(board)
    , m_clock(clock)
    , m_announcementTime(announcementTimeWithin(limits.grace))
    , m_limit(limitOf(limits))
    , m_leavingTime(leavingTimeWithin(limits.grace))
{
}

void Drain::begin()
{
    m_startedAt = m_stepStartedAt = m_clock.now();
    m_board.startDraining(m_startedAt + m_limit);
}

StopStep Drain::advance(const OpenWork& open)
{
    using Condition = bool (Drain::*)(const OpenWork&) const;
    constexpr std::array<Condition, stopStepCount - 1> conditions { &Drain::isAnnounced, &Drain::hasFinished,
        &Drain::hasClosed, &Drain::hasLeft };
    const auto index = static_cast<size_t>(m_step);
    if (index < conditions.size() && (this->*conditions[index])(open))
        enter(static_cast<StopStep>(index + 1), open);
    return m_step;
}

void Drain::enter(StopStep step, const OpenWork& open)
{
    m_step = step;
    m_stepStartedAt = m_clock.now();
    if (step == StopStep::Finishing)
        m_board.startRefusingNewWork();
    if (step == StopStep::Leaving)
        m_limitReached = !hasAnsweredAll(open);
}

bool Drain::isAnnounced(const OpenWork&) const { return m_clock.now() - m_stepStartedAt >= m_announcementTime; }

// The local backend server may make calls through this node for as long as it runs an attempt.
bool Drain::hasFinished(const OpenWork&) const { return !m_board.attempts().size() || isPastLimit(); }

bool Drain::hasClosed(const OpenWork& open) const { return hasAnsweredAll(open) || isPastLimit(); }

bool Drain::hasLeft(const OpenWork& open) const
{
    const bool isDone = !open.unsent && !open.connections;
    return m_clock.now() - m_stepStartedAt >= m_leavingTime && (isDone || isPastLimit());
}

bool Drain::hasAnsweredAll(const OpenWork& open) const
{
    return !open.connections && !m_board.entries().size() && !m_board.attempts().size();
}

bool Drain::isPastLimit() const { return m_clock.now() - m_startedAt >= m_limit; }

} // namespace Vanillaridge

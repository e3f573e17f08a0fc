#include "intake/Intake.h"

namespace Vanillaridge {

Intake::Intake(Board& board, const Clock& clock, IntakeSettings settings)
    : m_board(board)
    , m_clock(clock)
    , m_settings(settings)
{
}

void Intake::noteAccepted()
{
    m_board.counters().add(Counter::ConnectionsAccepted);
    const auto now = m_clock.now();
    m_board.intake().update([&](IntakeRecord& record) { record.acceptedAt = now; });
}

void Intake::noteDisplaced()
{
    m_board.counters().add(Counter::ConnectionsDisplaced);
    noteAccepted();
}

void Intake::noteTurnedAway()
{
    m_board.counters().add(Counter::ConnectionsTurnedAway);
    noteRefused();
}

void Intake::noteFailed()
{
    m_board.counters().add(Counter::AcceptsFailed);
    noteRefused();
}

void Intake::noteRefused()
{
    const auto now = m_clock.now();
    m_board.intake().update([&](IntakeRecord& record) {
        if (record.refusedAt == Instant() || now - record.refusedAt > m_settings.calmAfter)
            record.refusedSince = now;
        record.refusedAt = now;
    });
}

bool Intake::refuses() const
{
    const auto record = m_board.intake().record();
    return record.refusedAt != Instant() && m_clock.now() - record.refusedAt <= m_settings.calmAfter;
}

bool Intake::isBlocked() const
{
    const auto record = m_board.intake().record();
    return refuses() && record.refusedAt - std::max(record.acceptedAt, record.refusedSince) >= m_settings.blockedAfter;
}

} // namespace Vanillaridge

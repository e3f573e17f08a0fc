/// Whether callers can connect to this node, judged by what became of the connections that they tried to open.
#pragma once

#include "board/Board.h"

namespace Vanillaridge {

struct IntakeSettings {
    /// Time during which connections are refused and none is accepted, after which callers count as shut out.
    Duration blockedAfter { seconds(1) };
    /// Time without a refusal after which connections count as accepted again.
    Duration calmAfter { seconds(3) };
};

/// Writes board.intake(). May be called from several threads.
class Intake {
public:
    Intake(Board&, const Clock&, IntakeSettings = {});

    void noteAccepted();
    /// A connection was accepted after idle ones had been closed to make room.
    void noteDisplaced();
    /// A connection was closed at once, since as many as are allowed are in use.
    void noteTurnedAway();
    /// Accepting failed, for want of descriptors for instance.
    void noteFailed();

    /// Whether a connection has been refused lately, for either reason.
    bool refuses() const;
    /// Whether callers are shut out: connections are refused, and none has been accepted for a while. Ends with the
    /// next one that is accepted, or once nobody has been refused for a while.
    bool isBlocked() const;

private:
    void noteRefused();

    Board& m_board;
    const Clock& m_clock;
    const IntakeSettings m_settings;
};

} // namespace Vanillaridge

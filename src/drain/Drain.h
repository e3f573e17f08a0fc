/// Graceful shutdown, from the signal to the exit of the process. Only decides, on the state of the board: the owner of
/// the sockets carries out each step.
///
/// A stop completes only when no more requests can arrive and all received ones are answered, or when its limit has
/// passed.
#pragma once

#include "board/Board.h"

namespace Vanillaridge {

/// Steps of a stop, in order.
enum class StopStep : uint8_t {
    /// The node serves as before while the other nodes learn that it is leaving.
    Announcing,
    /// New work is refused. Running attempts continue, and so do the calls that their backend servers make through this
    /// node.
    Finishing,
    /// No more requests are accepted; those already received are answered.
    Closing,
    /// The last messages to other nodes are being sent.
    Leaving,
    Ended,
};
constexpr size_t stopStepCount = 5;
std::string_view toText(StopStep);

/// Work in progress in the front ends and transports of a stopping node.
struct OpenWork {
    /// Connections on which a caller's request may arrive or is in progress.
    size_t connections { 0 };
    /// Connections to other nodes with unsent messages.
    size_t unsent { 0 };
};

/// How long a stop may take.
struct StopLimits {
    /// Maximum wait for running requests after the announcement.
    Duration drain { 0 };
    /// Time from the signal after which the process is killed; 0 when nothing kills it. Running requests are waited for
    /// until shortly before.
    Duration grace { 0 };
};

/// Not thread-safe: used by one thread.
class Drain {
public:
    Drain(Board&, const Clock&, StopLimits);

    /// Starts the stop and marks the node as draining on the board.
    void begin();
    /// Advances by at most one step and returns the current one, which the caller then carries out. Call every few ms
    /// after `begin`.
    StopStep advance(const OpenWork&);
    /// Whether the limit passed before all received requests were answered.
    bool limitReached() const { return m_limitReached; }

private:
    bool isAnnounced(const OpenWork&) const;
    bool hasFinished(const OpenWork&) const;
    bool hasClosed(const OpenWork&) const;
    bool hasLeft(const OpenWork&) const;
    bool hasAnsweredAll(const OpenWork&) const;
    bool isPastLimit() const;
    void enter(StopStep, const OpenWork&);

    Board& m_board;
    const Clock& m_clock;
    const Duration m_announcementTime;
    /// From the signal on.
    const Duration m_limit;
    /// Minimum length of the step Leaving.
    const Duration m_leavingTime;
    StopStep m_step { StopStep::Announcing };
    Instant m_startedAt;
    Instant m_stepStartedAt;
    bool m_limitReached { false };
};

} // namespace Vanillaridge

/// How a planned stop goes on, from the signal to the end of the process. Decisions over the board only: whoever owns
/// the sockets carries each step out.
///
/// A stop ends only when nothing can come in any more and all that came in is answered, or when its limit has passed.
#pragma once

#include "board/Board.h"

namespace Vanillaridge {

/// What a stop is at, in the order of the steps.
enum class StopStep : uint8_t {
    /// Everything goes on, while the others hear that this node leaves.
    Announcing,
    /// New work is refused. Attempts run on, and so do the calls that their backend servers make through this node.
    Finishing,
    /// No request comes in any more; what came in is answered.
    Closing,
    /// The last messages to other nodes are on their way.
    Leaving,
    Ended,
};
constexpr size_t stopStepCount = 5;
std::string_view toText(StopStep);

/// What the front ends and transports of a stopping node still have under way.
struct OpenWork {
    /// Connections over which a request of a caller may come, and those that carry any.
    size_t connections { 0 };
    /// Connections to other nodes with messages that are not written yet.
    size_t unsent { 0 };
};

/// Used by one thread.
class Drain {
public:
    /// \param limit longest wait for running requests, after the announcement
    Drain(Board&, const Clock&, Duration limit);

    /// The stop begins.
    void begin();
    /// Goes on by at most one step and tells the present one, which the caller then carries out. To be called every few
    /// ms once the stop has begun.
    StopStep next(const OpenWork&);
    /// Whether the limit passed before all that came in was answered.
    bool limitReached() const { return m_limitReached; }

private:
    bool isAnnounced(const OpenWork&) const;
    bool hasFinished(const OpenWork&) const;
    bool hasClosed(const OpenWork&) const;
    bool hasLeft(const OpenWork&) const;
    bool isAnswered(const OpenWork&) const;
    bool isPastLimit() const;
    void enter(StopStep, const OpenWork&);

    Board& m_board;
    const Clock& m_clock;
    const Duration m_limit;
    StopStep m_step { StopStep::Announcing };
    Instant m_began;
    Instant m_stepBegan;
    bool m_limitReached { false };
};

} // namespace Vanillaridge

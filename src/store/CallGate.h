// Decides whether a call to the store may be made now.
#pragma once

#include "core/Core.h"

#include <mutex>

namespace Vanillaridge {

// The node's own limit on calls, and the back-off after failures.
class CallGate {
public:
    CallGate(double callsPerSecond, double burst, const Clock&, RandomSource&);

    enum class Answer : uint8_t { Go, TooManyCalls, BackingOff };
    // Takes a token when the answer is Go.
    Answer ask();
    // Ends the back-off.
    void succeeded();
    // Begins a back-off, twice as long as the last and with jitter.
    void failed();

private:
    const double m_rate;
    const double m_burst;
    const Clock& m_clock;
    RandomSource& m_random;
    std::mutex m_lock;
    double m_tokens;
    Instant m_refilledAt;
    Duration m_backOff { 0 };
    Instant m_notBefore;
};

} // namespace Vanillaridge

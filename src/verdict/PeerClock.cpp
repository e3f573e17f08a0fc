#include "verdict/Verdict.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    // Two clocks of the fleet run apart by less than this share of the time that passes: each is slewed by at most 500
    // parts in a million.
    constexpr Duration::rep driftDivisor = 1000;

    // How far two clocks may have run apart in this time.
    Duration drift(Duration passed) { return Duration(std::abs(passed.count()) / driftDivisor); }

} // namespace

PeerClock::PeerClock(Instant challengedAt, Instant answeredAt, Duration stamp)
    : m_challengedAt(std::min(challengedAt, answeredAt))
    , m_stamp(stamp)
{
}

// The pair with the smaller bound for the newest stamp is the better one: a long-lived connection's first pair loosens
// by drift, and a pair whose answer was slow starts loose.
void PeerClock::refresh(Instant challengedAt, Instant answeredAt, Duration stamp)
{
    const PeerClock fresh(challengedAt, answeredAt, stamp);
    if (fresh.ageBound(stamp, answeredAt) < ageBound(stamp, answeredAt))
        *this = fresh;
}

// The first stamp was made after the challenge, so this one was made at least (stamp - m_stamp) after the challenge.
Duration PeerClock::ageBound(Duration stamp, Instant handledAt) const
{
    const Duration since = handledAt - m_challengedAt;
    const Duration between = stamp - m_stamp;
    return std::max(Duration::zero(), since - between + drift(between));
}

} // namespace Vanillaridge

#include "store/CallGate.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    constexpr Duration firstBackOff = milliseconds(100);
    constexpr Duration longestBackOff = seconds(2);
    constexpr double backOffJitter = 0.5;

} // namespace

CallGate::CallGate(double callsPerSecond, double burst, const Clock& clock, RandomSource& random)
    : m_rate(callsPerSecond)
    , m_burst(burst)
    , m_clock(clock)
    , m_random(random)
    , m_tokens(burst)
    , m_refilledAt(clock.now())
    , m_notBefore(m_refilledAt)
{
}

CallGate::Answer CallGate::ask()
{
    std::lock_guard guard(m_lock);
    const auto now = m_clock.now();
    if (now < m_notBefore)
        return Answer::BackingOff;
    const auto passed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_tokens = std::min(m_burst, m_tokens + m_rate * passed);
    m_refilledAt = now;
    if (m_tokens < 1)
        return Answer::TooManyCalls;
    m_tokens -= 1;
    return Answer::Go;
}

void CallGate::succeeded()
{
    std::lock_guard guard(m_lock);
    m_backOff = Duration(0);
}

void CallGate::failed()
{
    std::lock_guard guard(m_lock);
    m_backOff = m_backOff == Duration(0) ? firstBackOff : std::min(longestBackOff, 2 * m_backOff);
    m_notBefore = m_clock.now() + m_random.jittered(m_backOff, backOffJitter);
}

} // namespace Vanillaridge

#include "admission/ServiceTimes.h"

#include <algorithm>
#include <cmath>

namespace Vanillaridge {

namespace {

    // Minimum EWMA weight of a new sample; the first samples are averaged with equal weight.
    constexpr double minimumEwmaWeight = 0.05;
    constexpr uint32_t samplesNeeded = 8;
    // Time-to-live of a route's estimate after its last served request.
    constexpr Duration estimateTtl = seconds(2);

} // namespace

void ServiceTimes::record(std::string_view route, Duration time, Instant now)
{
    auto found = m_routes.find(route);
    if (found == m_routes.end())
        found = m_routes.emplace(route, Times {}).first;
    auto& times = found->second;
    if (now - times.updatedAt > estimateTtl)
        times = {};
    times.updatedAt = now;
    ++times.samples;
    const double seconds = std::chrono::duration<double>(time).count();
    const double weight = std::max(minimumEwmaWeight, 1.0 / times.samples);
    if (times.samples > 1)
        times.deviation += weight * (std::abs(seconds - times.mean) - times.deviation);
    times.mean += weight * (seconds - times.mean);
}

Duration ServiceTimes::lowEstimate(std::string_view route, Instant now) const { return estimate(route, now, -1); }

Duration ServiceTimes::highEstimate(std::string_view route, Instant now) const { return estimate(route, now, 1); }

Duration ServiceTimes::estimate(std::string_view route, Instant now, double deviations) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end() || found->second.samples < samplesNeeded || now - found->second.updatedAt > estimateTtl)
        return Duration(0);
    const auto& times = found->second;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::max(0.0, times.mean + deviations * times.deviation)));
}

void ServiceTimes::expire(Instant now)
{
    std::erase_if(m_routes, [&](const auto& entry) { return now - entry.second.updatedAt > estimateTtl; });
}

} // namespace Vanillaridge

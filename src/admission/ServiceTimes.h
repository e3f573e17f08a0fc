/// Service time estimates of a backend server, per route.
#pragma once

#include "core/Core.h"

#include <unordered_map>

namespace Vanillaridge {

/// The times of one route say nothing about another's, since a server's work may vary widely. An estimate uses only
/// recently served requests of its own route and expires without them: refused requests are not timed, and a refusal
/// must not sustain the estimate that caused it.
/// Not thread-safe; protected by the gate's lock.
class ServiceTimes {
public:
    /// Records the service time of a served request.
    void record(std::string_view route, Duration, Instant now);
    /// Times that most requests of the route reach and do not exceed, respectively: the average minus and plus the mean
    /// deviation. 0 while there are too few recent samples.
    Duration lowEstimate(std::string_view route, Instant now) const;
    Duration highEstimate(std::string_view route, Instant now) const;
    /// Removes routes whose estimate has expired.
    void expire(Instant now);

private:
    struct Times {
        double mean { 0 }; // seconds
        double deviation { 0 }; // seconds
        uint32_t samples { 0 };
        Instant updatedAt;
    };
    Duration estimate(std::string_view route, Instant now, double deviations) const;

    std::unordered_map<RouteName, Times, NameHash, std::equal_to<>> m_routes;
};

} // namespace Vanillaridge

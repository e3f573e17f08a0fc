/// How long a backend server takes for requests of each route.
#pragma once

#include "core/Core.h"

#include <unordered_map>

namespace Vanillaridge {

/// A server may do work of very different length, so what one route's requests take says nothing of another's. A route
/// is judged only by requests of its own that were served of late: one that is refused is not timed, and a refusal must
/// not keep up the estimate that it rests on.
/// Not safe for several threads; its gate's lock protects it.
class ServiceTimes {
public:
    /// A request of the route was served.
    void note(std::string_view route, Duration, Instant now);
    /// Time that most requests of the route need at least, and that most of them do not exceed; 0 while too few were
    /// timed of late.
    Duration least(std::string_view route, Instant now) const;
    Duration usual(std::string_view route, Instant now) const;
    /// Drops routes of which nothing is known any more.
    void forget(Instant now);

private:
    struct Times {
        double mean { 0 }; // seconds
        double deviation { 0 }; // seconds
        uint32_t samples { 0 };
        Instant at;
    };
    Duration estimate(std::string_view route, Instant now, double deviations) const;

    std::unordered_map<RouteName, Times, NameHash, std::equal_to<>> m_routes;
};

} // namespace Vanillaridge

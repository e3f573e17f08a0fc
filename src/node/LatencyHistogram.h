/// How long requests spent in the system beside their backend server's own time. Private to the node library.
#pragma once

#include "core/Core.h"

namespace Vanillaridge {

/// Counts durations in bins whose width grows with the duration. Any thread may record and read.
class LatencyHistogram {
public:
    LatencyHistogram();
    ~LatencyHistogram();

    void record(Duration);

    /// Durations recorded up to and including `upTo`.
    struct Bin {
        Duration upTo;
        uint64_t cumulative;
    };
    std::vector<Bin> bins() const;
    uint64_t count() const;
    Duration sum() const;

private:
    struct Counts;
    std::unique_ptr<Counts> m_counts;
};

/// Where the time of requests goes.
struct Latencies {
    /// From a request's arrival to the beginning of its answer, less the backend server's own time.
    LatencyHistogram added;
    /// From a request's arrival to its end, however it ended.
    LatencyHistogram whole;
    /// From an attempt's arrival at its guard until it started or was refused.
    LatencyHistogram queued;
    /// From an attempt's start to its end.
    LatencyHistogram server;
};

} // namespace Vanillaridge

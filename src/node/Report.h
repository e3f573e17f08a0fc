/// What a node tells its operators. Private to the node library.
#pragma once

#include "node/Parts.h"

namespace Vanillaridge {

/// All counters, gauges and histograms in the common text format for metrics.
std::string metricsText(Parts&);
/// Configuration, members, backend servers, quota slots and limits, as JSON.
std::string statusText(Parts&);
/// Why the node cannot serve callers now; empty when it can.
std::string obstacleToReadiness(Parts&);

} // namespace Vanillaridge

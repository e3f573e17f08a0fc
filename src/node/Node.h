/// One node: controllers, transports and front ends put together, from start to planned stop.
#pragma once

#include "settings/Settings.h"

namespace Vanillaridge {

/// Why a node ended.
enum class NodeEnd : uint8_t {
    /// A planned stop that cut no request.
    Drained,
    /// A planned stop whose limit ran out while requests were still running.
    DrainLimitReached,
    /// It could not start: an address was malformed or taken.
    CouldNotStart,
};

/// Runs a node until SIGTERM or SIGINT asks it to stop, and drains it. Blocks the calling thread.
NodeEnd runNode(const Settings&);

} // namespace Vanillaridge

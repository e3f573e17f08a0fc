/// How a node shares out its file descriptors. Private to the node library.
#pragma once

#include <cstddef>
#include <cstdint>

namespace Vanillaridge {

/// Connections that each address takes at once, and connections to backend servers. The other descriptors, an eighth
/// and more, are for connections to other nodes and to the store, and for files.
struct DescriptorShares {
    size_t callers { 0 };
    size_t servers { 0 };
    /// At each of the addresses of operators and of readiness.
    size_t pages { 0 };
    /// Connections to backend servers, idle ones included.
    size_t backends { 0 };
};

/// \param available descriptors that the process may use
/// \param wished connections allowed by the settings, for callers and for backend servers each
DescriptorShares shareDescriptors(uint64_t available, size_t wished);

/// The process's own limit, or the given one if that is lower and not 0.
uint64_t availableDescriptors(uint32_t fromSettings);

} // namespace Vanillaridge

/// The way of a request through the node where it enters. Private to the node library.
#pragma once

#include "node/Parts.h"

namespace Vanillaridge {

/// Serves requests of callers, and calls of the backend servers beside this node.
class EntryFlow {
public:
    explicit EntryFlow(Parts& parts)
        : m_parts(parts)
    {
    }

    /// A caller's request.
    Task<void> serveCaller(std::shared_ptr<HttpExchange>);
    /// A backend server's call for the request that it names.
    Task<void> serveCall(std::shared_ptr<HttpExchange>);

private:
    Parts& m_parts;
};

} // namespace Vanillaridge

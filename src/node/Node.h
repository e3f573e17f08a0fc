/// One node: controllers, transports and front ends put together, from start to planned stop.
#pragma once

#include "dialect/Dialect.h"
#include "manifest/Manifest.h"
#include "settings/Settings.h"
#include "store/Store.h"

namespace Vanillaridge {

/// What a node's surroundings speak, and where the operators' declarations are.
struct Integration {
    const Dialect& dialect;
    /// Reads the declarations as operators wrote them.
    ManifestResult (*readManifest)(std::string_view text);
    /// Name of the object that holds them.
    std::string_view manifestObject;
    /// Opens the store that the settings name. What it refers to outlives it.
    std::unique_ptr<ObjectStore> (*openStore)(
        boost::asio::io_context&, const StoreSettings&, const Clock&, RandomSource&, Counters&);
    /// Applies what the surroundings say outside the settings file; returns what is wrong with it. Null where they say
    /// nothing.
    std::vector<Problem> (*applySurroundings)(Settings&) { nullptr };
};

/// The product's own dialect and manifests, with a local manifest file in place of a store.
const Integration& ownIntegration();

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
///
/// SIGHUP has the settings read again with `reload`: the log level is taken over at once, all else at the next start.
NodeEnd runNode(const Settings&, const Integration& = ownIntegration(), std::function<SettingsResult()> reload = {});

} // namespace Vanillaridge

/// Whether the configuration in force may still be gone by: a key that was withdrawn meanwhile must not work on a node
/// that was paused or cut off.
#pragma once

#include "board/Board.h"

namespace Vanillaridge {

struct FreshnessSettings {
    /// Time without a tick after which nothing is served: this node was paused or is stalled.
    Duration pauseLimit { seconds(2) };
    /// Share of the known members that must be reachable for this node to go on while nobody confirms the
    /// configuration.
    double reachableShare { 0.5 };
    /// How long a newer configuration may be known and not in force.
    Duration behindLimit { seconds(8) };
};

/// May be called from several threads. References must outlive it.
class Freshness {
public:
    Freshness(Board&, const Clock&, FreshnessSettings);
    ~Freshness();

    /// Weighs the freshness record of the board; to be called every 50 to 100 ms.
    void tick();
    /// Whether requests that need a key may be served right now; if not, they are refused with
    /// Reason::StaleConfiguration. Cheap enough for each request.
    bool mayServeKeyed() const;
    /// Time since the configuration was last confirmed.
    Duration age() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Vanillaridge

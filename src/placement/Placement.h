/// Placement at entry: which backend server gets a request, and which requests are shed before they are sent.
///
/// Reads and writes the board's servers and shed records. All functions may be called from several threads at once.
#pragma once

#include "board/Board.h"

namespace Vanillaridge {

/// A chosen backend server.
struct PlacementChoice {
    ServerKey server;
    Endpoint endpoint;
};

/// How a call to a chosen backend server ended.
struct CallEnd {
    /// The call's own context.
    const RequestContext& context;
    /// Route of the request whose backend server made this call; empty for a caller's request.
    std::string_view parentRoute;
    /// None when an answer came.
    Reason reason { Reason::None };
    /// What the other side told of its load, if it told anything.
    const LoadFeedback* feedback { nullptr };
    /// From sending until the end.
    Duration latency { 0 };
};

/// Ways to choose a backend server. TwoChoices is the product's; PureRandom is a baseline for measurement.
enum class PlacementStrategy : uint8_t { TwoChoices, PureRandom };

/// Whether requests are shed at entry for load further down. Off is a baseline for measurement.
enum class EdgeShedding : uint8_t { On, Off };

class Placement {
public:
    Placement(Board&, Clock&, RandomSource&, PlacementStrategy = PlacementStrategy::TwoChoices,
        EdgeShedding = EdgeShedding::On);
    ~Placement();

    /// Rebuilds board.servers() from board.members(): what alive members announced, keeping what is known of each
    /// server. Members that left or died, and announcements withdrawn, vanish at once. To be called after each change
    /// of membership or of the backend servers beside this node.
    void refresh();

    /// A backend server of the service that is not among those tried; nothing when there is none.
    std::optional<PlacementChoice> choose(std::string_view service, std::span<const NodeId> tried);
    /// A request is on its way to the chosen server; `ended` must follow exactly once.
    void began(const PlacementChoice&);
    void ended(const PlacementChoice&, const CallEnd&);

    /// Whether the request would be shed further down, and so should be refused here as ShedAtEntry. When it is kept,
    /// its context is told how many requests like it this one stands for.
    bool shedAtEntry(RequestContext&);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Vanillaridge

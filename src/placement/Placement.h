/// Placement at entry: selects the backend server for a request, and sheds requests before they are sent.
///
/// Reads and writes the board's servers and shed records. All functions are thread-safe.
#pragma once

#include "placement/CostModel.h"

namespace Vanillaridge {

/// A chosen backend server.
struct PlacementChoice {
    ServerKey server;
    Endpoint endpoint;
    /// What the request is expected to cost, in seconds at a server of mean speed; 0 if that is not known.
    double expectedCost { 0 };
};

/// How a call to a chosen backend server completed.
struct CallCompletion {
    /// The call's own context.
    const RequestContext& context;
    /// Route of the request whose backend server made this call; empty for a caller's request.
    std::string_view parentRoute;
    /// None when an answer arrived.
    Reason reason { Reason::None };
    /// Load that the other side reported, if any.
    const LoadFeedback* feedback { nullptr };
    /// Time from sending to completion.
    Duration latency { 0 };
    /// Time at the backend server until its answer began; 0 if there was none.
    Duration backendTime { 0 };
    std::optional<uint64_t> bodyBytes {};
};

/// How a backend server is chosen. TwoChoices (power of two choices) compares requests for each slot,
/// SoonestCompletion when the request would complete, by its likely cost, the work outstanding and the servers' speed.
/// PureRandom is a baseline for measurement.
enum class PlacementStrategy : uint8_t { TwoChoices, PureRandom, SoonestCompletion };
std::string_view toText(PlacementStrategy);
std::optional<PlacementStrategy> placementStrategyFromText(std::string_view);

/// Whether requests are shed at entry because of downstream load. Off is a baseline for measurement.
enum class EdgeShedding : uint8_t { On, Off };

class Placement {
public:
    Placement(Board&, Clock&, RandomSource&, PlacementStrategy = PlacementStrategy::TwoChoices,
        EdgeShedding = EdgeShedding::On);
    ~Placement();

    /// Rebuilds board.servers() from the announcements of the alive members in board.members(), and keeps the state of
    /// each server that is still announced. Servers of members that left or died, and withdrawn announcements, are
    /// removed at once. Call after each change of membership or of the backend servers local to this node.
    void refresh();

    /// A backend server of the service that is not in `tried`; nullopt when there is none.
    std::optional<PlacementChoice> choose(
        std::string_view service, std::span<const NodeId> tried, const CostTraits& = {});
    /// The least loaded of these servers of the service that still takes requests; nullopt when there is none. For
    /// another attempt at servers that rejected a request unrun.
    std::optional<PlacementChoice> chooseAmong(
        std::string_view service, std::span<const NodeId> nodes, const CostTraits& = {});
    /// Counts a request as outstanding at the chosen server. `callCompleted` must follow exactly once.
    void callStarted(const PlacementChoice&);
    /// Records the completion of a call, and the load and shed level that it reported.
    void callCompleted(const PlacementChoice&, const CallCompletion&);

    /// Whether the request would be shed downstream, and so should be refused here as ShedAtEntry. Otherwise sets in
    /// its context how many similar requests it represents.
    bool shedAtEntry(RequestContext&);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Vanillaridge

/// Facts that controllers write on the board and read from it. Records hold data only.
#pragma once

#include "configuration/Configuration.h"
#include "messages/Messages.h"

#include <map>

namespace Vanillaridge {

// --- Members ------------------------------------------------------------------------------------------------------

/// A member as this node knows it.
struct MemberRecord {
    MemberUpdate said;
    /// When the present state began.
    Instant since;
    /// When the member, or somebody on its behalf, last proved that it is there.
    Instant lastHeard;
};

// --- Backend servers ----------------------------------------------------------------------------------------------

/// One backend server: the service it belongs to, and the node beside it.
struct ServerKey {
    NodeId node;
    ServiceName service;
    auto operator<=>(const ServerKey&) const = default;
};

/// A backend server that requests may be sent to, and what answers from it have told.
struct ServerRecord {
    Endpoint endpoint;
    ZoneName zone;
    ServerAnnouncement announcement;
    Instant knownSince;
    LoadFeedback feedback;
    Instant feedbackAt;
    /// Requests that this node has on the way to it.
    uint32_t outstanding { 0 };
    /// Failures in a row, and until when the server is set aside for them.
    uint32_t failures { 0 };
    Instant setAsideUntil;
    /// Times it has been set aside since it last did well.
    uint32_t setAsides { 0 };
};

using ServerGroup = std::map<NodeId, ServerRecord>;

/// A backend server that announced itself to this node.
struct LocalServerRecord {
    ServerAnnouncement announcement;
    Endpoint endpoint;
    Instant renewedAt;
    Duration term { 0 };
};

// --- Load further down --------------------------------------------------------------------------------------------

/// Requests that share a shed level: those of one account on one route.
struct FlowKey {
    RouteName route;
    AccountName account;
    auto operator<=>(const FlowKey&) const = default;
};

/// The shed level that answers to a flow's requests have told, smoothed over the servers they came from.
struct ShedRecord {
    double level { 0 };
    Instant at;
    /// Requests let through and shed since the level rose from 0, with decay.
    double passed { 0 };
    double shed { 0 };
};

/// Which routes the requests of one route go on to call, counted with decay.
struct RouteCallsRecord {
    double requests { 0 };
    std::map<RouteName, double> calls;
};

// --- Running requests ---------------------------------------------------------------------------------------------

/// A request that entered here and has no answer yet.
struct EntryRecord {
    RequestContext context;
    Instant deadline;
    /// The request whose backend server made this call; nothing for a caller's.
    std::optional<RequestId> parent;
    /// Retries spent so far, here and by calls further down.
    uint32_t retriesUsed { 0 };
    /// Of those, the ones that the latest attempt spent further down.
    uint32_t retriesBelow { 0 };
    /// Tries after the first made here.
    uint32_t retriesHere { 0 };
};

enum class AttemptState : uint8_t { Waiting, Started, Finished, Barred };

/// An attempt at the backend server beside this node.
struct AttemptRecord {
    RequestContext context;
    AttemptState state { AttemptState::Waiting };
    Instant deadline;
    Instant stateSince;
    /// Retries that the backend server's own calls have spent.
    uint32_t retriesUsed { 0 };
    bool cancelled { false };
};

// --- Configuration ------------------------------------------------------------------------------------------------

/// What is known of how fresh the configuration in force is.
struct FreshnessRecord {
    /// Highest number heard of, and its content.
    uint64_t newestNumber { 0 };
    uint64_t newestContentHash { 0 };
    /// When somebody read that number from the platform, as far as this node knows.
    Instant confirmedAt;
    bool platformReachable { false };
};

} // namespace Vanillaridge

template <> struct std::hash<Vanillaridge::FlowKey> {
    size_t operator()(const Vanillaridge::FlowKey& key) const noexcept
    {
        return Vanillaridge::mixHash(std::hash<std::string>()(key.route), std::hash<std::string>()(key.account));
    }
};
template <> struct std::hash<Vanillaridge::ServerKey> {
    size_t operator()(const Vanillaridge::ServerKey& key) const noexcept
    {
        return Vanillaridge::mixHash(key.node.value, std::hash<std::string>()(key.service));
    }
};

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

/// Ranks a member for a duty by rendezvous hashing: the live members with the highest scores have it, and a member that
/// comes or goes moves no duty but its own.
inline uint64_t dutyScore(NodeId member, uint64_t duty) { return mixHash(member.value, duty); }

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
};

using ServerGroup = std::map<NodeId, ServerRecord>;

/// A backend server that announced itself to this node.
struct LocalServerRecord {
    ServerAnnouncement announcement;
    Endpoint endpoint;
    Instant renewedAt;
    Duration term { 0 };
};

// --- Running requests ---------------------------------------------------------------------------------------------

/// A request that entered here and has no answer yet.
struct EntryRecord {
    RequestContext context;
    Instant deadline;
    /// The request whose backend server made this call; nothing for a caller's.
    std::optional<RequestId> parent;
    uint32_t retriesUsed { 0 };
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
    /// Highest number heard of.
    uint64_t newestNumber { 0 };
    /// Content hash of the configuration in force.
    uint64_t contentHash { 0 };
    /// When somebody read that number from the platform, as far as this node knows.
    Instant confirmedAt;
    bool platformReachable { false };
    /// A member that has the newest number, to fetch it from.
    Endpoint newestFrom;
    /// Since when a newer configuration than the one in force has been known; the epoch when there is none.
    Instant behindSince;
    /// When this node started, or came back from its latest pause.
    Instant resumedAt;
    /// Share of the known members that can be reached, from 0 to 1, as far as probes tell.
    double reachableShare { 0 };
    /// Whether a member has answered since resumedAt, or there is none to answer.
    bool viewRefreshed { false };
};

} // namespace Vanillaridge

template <> struct std::hash<Vanillaridge::ServerKey> {
    size_t operator()(const Vanillaridge::ServerKey& key) const noexcept
    {
        return Vanillaridge::mixHash(key.node.value, std::hash<std::string>()(key.service));
    }
};

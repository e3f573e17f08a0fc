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
    auto operator<=>(const ServerKey&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Speed of a backend server against the others of its service: what its requests were expected to take, over what they
/// took, both in seconds and with decay.
struct SpeedRecord {
    double expected { 0 };
    double observed { 0 };
    Instant at;
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
    /// What those requests are expected to cost, in seconds at a server of mean speed.
    double outstandingCost { 0 };
    SpeedRecord speed;
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
    /// Its own name for itself and the number of its life, where it has them.
    std::string instance {};
    uint64_t life { 0 };
    /// How much longer it was slow after its start when it first announced itself, where it said so.
    std::optional<Duration> coldLeft {};
};

/// The latest life of a backend server that has said that it leaves, or has left. It is not used again in that life.
struct DepartureRecord {
    uint64_t life { 0 };
    Instant notedAt;
    /// Whether another member keeps this life's departure, so that it outlasts this process without the store.
    bool witnessed { false };
};

/// Departures that this node keeps for an earlier or the present process of another one.
struct WitnessRecord {
    Endpoint node;
    /// The process beside which the backend servers left.
    BootId boot;
    std::vector<Departure> departures;
    Instant notedAt;
    /// When the node's next process is reminded of them again.
    Instant nextReminder;
};

/// Requests that are likely to cost alike. An empty route stands for all requests of the service, class 0 for bodies of
/// any length.
struct CostKey {
    ServiceName service;
    RouteName route;
    uint32_t bodyClass { 0 };
    auto operator<=>(const CostKey&) const = default; // NOLINT(modernize-use-nullptr)
};

/// What such requests cost at a server of mean speed, in seconds: moving averages of the cost and of its deviation.
struct CostRecord {
    double mean { 0 };
    double deviation { 0 };
    double samples { 0 };
};

// --- Load further down --------------------------------------------------------------------------------------------

/// Requests that share a shed level: those of one account on one route.
struct FlowKey {
    RouteName route;
    AccountName account;
    auto operator<=>(const FlowKey&) const = default; // NOLINT(modernize-use-nullptr)
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

/// What a request waits for at the node where it entered.
enum class EntryState : uint8_t {
    /// Its next attempt, or the answer that has been decided on.
    Decided,
    /// Its attempt's answer.
    Sent,
    /// A verdict about its attempt; the answer may still come first.
    Asking,
    /// The rest of the answer.
    Answering,
};

/// How an attempt ended that brought no whole answer.
enum class AttemptEnd : uint8_t {
    /// Nothing of it left this node.
    NeverSent,
    /// The guard refused it, and says that it has not started and will not.
    RefusedNotStarted,
    /// The guard refused it after it had started.
    RefusedStarted,
    /// The connection was lost before an answer began.
    ConnectionLost,
    /// Its time ran out before an answer began.
    TimedOut,
    /// The answer ended early, after its head was passed on.
    AnswerCutShort,
    /// The same, with what a verdict added.
    ConnectionLostNotStarted,
    ConnectionLostWithoutVerdict,
    TimedOutNotStarted,
    TimedOutWithoutVerdict,
    Count,
};

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
    /// Of those, the ones after the backend server itself had rejected the request unrun.
    uint32_t retriesAfterRejection { 0 };
    /// Whether the body can be sent once more.
    bool bodyReplayable { true };
    EntryState state { EntryState::Decided };
    /// While a verdict is asked for: how the attempt ended.
    AttemptEnd doubt { AttemptEnd::ConnectionLost };
    /// The run of the guard that has the present attempt.
    BootId guard;
    /// `sentAt` of the present attempt's OpenRequest.
    Duration openedAt { 0 };
    /// Why it is unknown whether an earlier attempt ran; None if no earlier one can have.
    Reason mayHaveRun { Reason::None };
};

enum class AttemptState : uint8_t { Waiting, Started, Finished, Barred };

/// What this node may say about an attempt that was sent to it. Outlives the attempt for as long as somebody may ask,
/// or the message that opens it may still come.
struct VerdictRecord {
    AttemptState state { AttemptState::Waiting };
    Instant deadline;
    /// When it may be forgotten, unless it runs.
    Instant forgetAt;
    bool cancelled { false };
};

/// An attempt at the backend server beside this node, while it waits or runs.
struct AttemptRecord {
    RequestContext context;
    AttemptState state { AttemptState::Waiting };
    Instant deadline;
    Instant stateSince;
    /// Retries that the backend server's own calls have spent.
    uint32_t retriesUsed { 0 };
    bool cancelled { false };
};

/// Hash of an account's name and its caller's idempotency key.
struct DuplicateKey {
    uint64_t high { 0 };
    uint64_t low { 0 };
    auto operator<=>(const DuplicateKey&) const = default; // NOLINT(modernize-use-nullptr)
};

/// A request that came with an idempotency key.
struct DuplicateRecord {
    RequestId request;
    bool answered { false };
    /// Of the answer, when there was one; 0 otherwise.
    uint16_t status { 0 };
    /// When it may be forgotten; meaningless before it is answered.
    Instant forgetAt;
};

// --- Callers' connections ------------------------------------------------------------------------------------------

/// What became of the connections that callers tried to open. The epoch stands for never.
struct IntakeRecord {
    Instant acceptedAt;
    /// When a connection was last turned away or could not be accepted, and since when that has gone on.
    Instant refusedAt;
    Instant refusedSince;
};

// --- Configuration ------------------------------------------------------------------------------------------------

/// What is known of how fresh the configuration in force is.
struct FreshnessRecord {
    /// Highest number heard of.
    uint64_t newestNumber { 0 };
    /// Content hash of the configuration in force.
    uint64_t contentHash { 0 };
    /// When somebody read that number from the store, as far as this node knows.
    Instant confirmedAt;
    /// When a member last brought a later confirmation than this node had.
    Instant confirmedByOthersAt;
    bool storeReachable { false };
    /// Times that the store was restored from a backup, as far as this node knows.
    uint64_t storeEra { 0 };
    /// When the latest call of this node's own that the store answered was made.
    Instant storeAnsweredAt;
    /// While most probes of other members fail: the time from which an answer of the store shows that those members are
    /// gone, rather than this node cut off. The epoch otherwise.
    Instant reachProofFrom;
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

template <> struct std::hash<Vanillaridge::FlowKey> {
    size_t operator()(const Vanillaridge::FlowKey& key) const noexcept
    {
        return Vanillaridge::mixHash(std::hash<std::string>()(key.route), std::hash<std::string>()(key.account));
    }
};
template <> struct std::hash<Vanillaridge::CostKey> {
    size_t operator()(const Vanillaridge::CostKey& key) const noexcept
    {
        return Vanillaridge::mixHash(
            Vanillaridge::mixHash(std::hash<std::string>()(key.service), std::hash<std::string>()(key.route)),
            key.bodyClass);
    }
};
template <> struct std::hash<Vanillaridge::DuplicateKey> {
    size_t operator()(const Vanillaridge::DuplicateKey& key) const noexcept { return key.low; }
};
template <> struct std::hash<Vanillaridge::ServerKey> {
    size_t operator()(const Vanillaridge::ServerKey& key) const noexcept
    {
        return Vanillaridge::mixHash(key.node.value, std::hash<std::string>()(key.service));
    }
};

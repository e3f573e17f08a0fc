/// Typed messages between nodes. Plain data only: how they are encoded is the business of the wire library, and what
/// they mean is that of the controllers.
#pragma once

#include "core/Core.h"

#include <variant>

namespace Vanillaridge {

// --- Requests (over TCP) ------------------------------------------------------------------------------------------

/// One HTTP header field.
struct HeaderField {
    std::string name;
    std::string value;
    bool operator==(const HeaderField&) const = default;
};

/// What a node tells its callers about the load of the backend server beside it, with every answer.
struct LoadFeedback {
    ServiceName service;
    /// Requests running and waiting.
    uint32_t running { 0 };
    uint32_t waiting { 0 };
    /// Requests it lets run at once at present.
    uint32_t limit { 0 };
    /// What is shed of the requests of the account that this is sent to, from 0 (nothing) to rankCount (everything):
    /// ranks in whole steps, the rest by request hash.
    double shedLevel { 0 };
    /// Smoothed time that a request spends at the backend server.
    Duration serviceTime { 0 };
    /// Smoothed time that a request waits before it.
    Duration queueTime { 0 };
    bool draining { false };
};

/// Everything about a request that travels with it from the node where it entered to the guard.
struct RequestContext {
    AttemptId attempt;
    /// Empty for a route that is open to all.
    AccountName account;
    RouteName route;
    ServiceName service;
    Rank rank {};
    bool idempotent { false };
    /// Time left when the message was sent.
    Duration remaining { 0 };
    /// Retries that this request and all its calls may still spend.
    uint32_t retriesLeft { 0 };
    /// 1 for a caller's request, one more for each call further down.
    uint32_t depth { 1 };
    /// The same for all calls that one caller's request causes, so that whole requests are shed together.
    uint64_t treeHash { 0 };
    /// Requests that this one stands for: itself, and those like it that were shed on the way here.
    double represents { 1 };
    /// Whether the request that made this call is known, if it is one. Where it is not, rank and what it represents are
    /// those of a likely one.
    bool parentKnown { true };
};

/// Whether nothing has been done for it yet: a caller's request, not a call of one that runs.
bool isNewWork(const RequestContext&);
/// Where a request stands among those that may be shed, from 0 (shed first) to rankCount: it is shed while it stands
/// below the shed level. Ranks go by whole steps; inside a rank the stable hash decides, so that the same whole
/// requests survive on every node. Calls of requests that run stand a little higher, since what has been done for them
/// is lost with them: a level that rises refuses new requests first.
double sheddingHeight(const RequestContext&);
/// The share of an account's requests of this rank and depth that survive at a shed level.
double survivalAt(Rank, uint32_t depth, double shedLevel);

/// Opens a stream: a request for the backend server beside the receiver.
struct OpenRequest {
    RequestContext context;
    /// The run of the guard that this is for.
    BootId guard;
    std::string method;
    std::string target;
    std::vector<HeaderField> headers;
    /// Whether body chunks follow.
    bool hasBody { false };
    /// The sender's BootClock when it sent this; with the handshake it bounds the message's age.
    Duration sentAt { 0 };
    /// Bytes of the body, when known beforehand.
    std::optional<uint64_t> contentLength {};
};

/// The beginning of a backend server's answer.
struct AnswerHead {
    /// What this answers, and the run of the guard that does: compared before it is handed on.
    AttemptId attempt;
    BootId guard;
    uint16_t status { 0 };
    std::vector<HeaderField> headers;
    bool hasBody { false };
    LoadFeedback feedback;
    /// Retries of the request that its calls have used.
    uint32_t retriesUsed { 0 };
    /// Bytes of the body, when known beforehand.
    std::optional<uint64_t> contentLength {};
    /// From sending the request to the backend server until its answer began.
    Duration backendTime { 0 };
};

/// The guard's own answer: the request has not run, or may have, as the reason says.
struct Refusal {
    AttemptId attempt;
    BootId guard;
    Reason reason { Reason::Internal };
    /// Whether the backend server may have begun on it.
    bool started { false };
    Duration retryAfter { 0 };
    LoadFeedback feedback;
    uint32_t retriesUsed { 0 };
};

/// A piece of a body, in either direction.
struct BodyChunk {
    std::string bytes;
    bool last { false };
};

/// Allows the other side to send further body bytes on this stream.
struct BodyCredit {
    uint64_t bytes { 0 };
};

/// The sender no longer wants the answer.
struct CancelRequest {
    Reason reason { Reason::CallerGone };
};

/// Asks over a fresh connection whether an attempt has started, and bars it if it has not.
struct VerdictQuery {
    AttemptId attempt;
    /// The run of the guard that the attempt was sent to.
    BootId guard;
    /// `sentAt` of the attempt's OpenRequest, and how long its sender's deadline was away then. A guard says nothing of
    /// attempts that it may have forgotten.
    Duration openedAt { 0 };
    Duration remaining { 0 };
};

enum class VerdictKind : uint8_t { NotStarted, Started, Unknown };

struct VerdictReply {
    AttemptId attempt;
    VerdictKind kind { VerdictKind::Unknown };
};

// --- Connections (over TCP) ---------------------------------------------------------------------------------------

/// Random bytes that make the keys of one connection differ from those of every other.
using Nonce = std::array<uint8_t, 16>;

/// First message of each side on a new connection, sent at once and without waiting for the other's.
struct Hello {
    Endpoint endpoint;
    BootId boot;
    Nonce nonce {};
    /// What the sender is able to speak; both sides must name the same.
    uint32_t protocol { 0 };
};

/// Second message of each side, sent under the connection's own keys once the other's Hello has come. It proves that
/// the sender lives now and knows the shared secret, and ties its clock to the receiver's.
struct Ready {
    /// The sender's BootClock when it sent this.
    Duration sentAt { 0 };
};

/// Asks for a Pong, so that a silent connection is noticed.
struct Ping {
    uint64_t sequence { 0 };
};

struct Pong {
    uint64_t sequence { 0 };
    /// The sender's BootClock when it sent this; ties it to the receiver's anew.
    Duration sentAt { 0 };
};

// --- Rates (over TCP) ---------------------------------------------------------------------------------------------

/// In place of a quota slot: the pull goes to the account's home, which passes on what it has pooled.
constexpr uint32_t homeSlot = UINT32_MAX;

/// Asks for tokens of an account. Each pull is answered at most once, and its answer applied at most once.
struct QuotaPull {
    uint64_t pull { 0 };
    AccountName account;
    /// The slot that is to give them, or homeSlot.
    uint32_t slot { homeSlot };
    double wanted { 0 };
    /// Give no tokens at all if there are fewer than this.
    double least { 0 };
    /// Configuration number whose rate the asker goes by.
    uint64_t configuration { 0 };
};

/// Tokens that have left their sender. They expire `lifetime` after the requester sent the
/// pull.
struct QuotaGrant {
    uint64_t pull { 0 };
    AccountName account;
    double tokens { 0 };
    Duration lifetime { 0 };
    /// Tokens that were left, when too few came.
    double left { 0 };
    /// When to ask again if too little came.
    Duration retryAfter { 0 };
};

/// Gives a token back to the slot that gave it: the request that took it did not run.
struct QuotaReturn {
    /// The pull that fetched it.
    uint64_t pull { 0 };
    AccountName account;
    uint32_t slot { 0 };
    /// Tokens of that pull that have come back so far, this one included: a repeated message changes nothing.
    double total { 0 };
};

// --- Membership (over UDP) ----------------------------------------------------------------------------------------

enum class MemberState : uint8_t { Alive, Suspect, Left, Dead };

/// A backend server as announced to the node beside it.
struct ServerAnnouncement {
    ServiceName service;
    /// Grows with each announcement after a withdrawal.
    uint64_t generation { 0 };
    uint32_t slots { 0 };
    bool draining { false };
    bool operator==(const ServerAnnouncement&) const = default;
};

/// What one node says of itself, as others pass it on. An update with an empty zone tells the state only: zone, servers
/// and quota slots are those of the version and boot that it names.
struct MemberUpdate {
    Endpoint endpoint;
    ZoneName zone;
    Incarnation incarnation;
    /// Grows whenever the member itself changes what it says.
    uint64_t version { 0 };
    BootId boot;
    MemberState state { MemberState::Alive };
    std::vector<ServerAnnouncement> servers;
    /// Quota slots that the member holds.
    std::vector<uint32_t> quotaSlots;
};

/// What is known of the configuration, on every membership message.
struct ConfigurationNews {
    uint64_t number { 0 };
    uint64_t contentHash { 0 };
    /// Time since somebody read this number from the store.
    Duration confirmedAgo { 0 };
    /// Whether the store answers those who watch it, as far as the sender has heard.
    bool storeReachable { false };
    /// Times that the store was restored from a backup, as far as the sender knows.
    uint64_t storeEra { 0 };
};

/// Are you there? Sent to the receiver itself, or on behalf of somebody who got no answer.
struct Probe {
    /// 0 when no acknowledgement is wanted: the message then only spreads what it carries.
    uint64_t sequence { 0 };
    /// Empty, or the member to probe for the sender.
    Endpoint target;
    ConfigurationNews news;
    std::vector<MemberUpdate> updates;
};

struct ProbeAcknowledgement {
    uint64_t sequence { 0 };
    /// Empty, or the member that was probed for the receiver.
    Endpoint target;
    ConfigurationNews news;
    std::vector<MemberUpdate> updates;
};

/// Hash of everything the sender knows about each bucket of members, for finding what was missed. Each number holds the
/// hashes of two buckets.
struct MemberDigest {
    std::vector<uint64_t> buckets;
    /// Whether the receiver should answer with its own.
    bool wantsReply { false };
    ConfigurationNews news;
};

/// Members of buckets that differed.
struct MemberBuckets {
    std::vector<uint32_t> buckets;
    std::vector<MemberUpdate> updates;
    bool wantsReply { false };
};

// --- Configuration (over TCP) -------------------------------------------------------------------------------------

/// Name and content hash of one section of a manifest.
struct SectionReference {
    std::string name;
    uint64_t hash { 0 };
    bool operator==(const SectionReference&) const = default;
};

/// Asks a peer for the list of sections of an accepted configuration.
struct SectionListRequest {
    uint64_t number { 0 };
    /// Number of the configuration that the asker holds, so that only the difference has to be told; 0 for none.
    uint64_t base { 0 };
};

struct SectionList {
    uint64_t number { 0 };
    uint64_t contentHash { 0 };
    /// Every section, or with a base those that are new or changed since.
    std::vector<SectionReference> sections;
    /// 0, or the asker's number that the list is a difference from.
    uint64_t base { 0 };
    /// Names of the base's sections that are gone.
    std::vector<std::string> removed;
};

/// Asks a peer for sections by their content.
struct SectionRequest {
    uint64_t number { 0 };
    std::vector<uint64_t> hashes;
};

struct SectionReply {
    uint64_t number { 0 };
    std::vector<std::string> sections;
};

// --- Departures of backend servers (over UDP) ---------------------------------------------------------------------

/// The latest life of a backend server that has said that it leaves.
struct Departure {
    /// Stable hash of its own name for itself.
    uint64_t server { 0 };
    uint64_t life { 0 };
    bool operator==(const Departure&) const = default;
};

enum class DepartureNewsKind : uint8_t {
    /// The receiver is to keep departures of backend servers beside the sender.
    Keep,
    /// The sender keeps them, or has them back.
    Kept,
    /// An earlier process of the receiver had the sender keep them.
    Recall,
};

struct DepartureNews {
    DepartureNewsKind kind { DepartureNewsKind::Keep };
    /// The run of the node beside which the backend servers left.
    BootId boot;
    std::vector<Departure> departures;
};

// --- All control messages -----------------------------------------------------------------------------------------

/// Messages from controller to controller. Order is part of the protocol: append only.
using ControlMessage = std::variant<QuotaPull, QuotaGrant, Probe, ProbeAcknowledgement, MemberDigest, MemberBuckets,
    SectionListRequest, SectionList, SectionRequest, SectionReply, QuotaReturn, DepartureNews>;

/// Messages on a connection between two nodes. Order is part of the protocol: append only.
using StreamMessage = std::variant<Hello, Ready, Ping, Pong, OpenRequest, AnswerHead, Refusal, BodyChunk, BodyCredit,
    CancelRequest, VerdictQuery, VerdictReply, ControlMessage>;

/// Whether a message goes as one datagram; the others go over a connection.
bool isDatagram(const ControlMessage&);

/// Bytes of an update as encoded; a controller fills its datagrams by it.
size_t estimatedSize(const MemberUpdate&);
/// Bytes of a whole message as encoded, with its header and MAC.
size_t estimatedSize(const ControlMessage&);

} // namespace Vanillaridge

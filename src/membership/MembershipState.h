// Everything that membership keeps beside the board, and its steps. All under one lock: a node handles about ten of
// these messages a second.
#pragma once

#include "membership/GossipQueue.h"
#include "membership/Membership.h"

namespace Vanillaridge {

// What a step leads to, carried out after the lock is released.
struct Effects {
    std::vector<OutgoingMessage> messages;
    std::vector<NodeId> changed;
};

// A probe of this node's own that has no answer yet.
struct PendingProbe {
    // Empty for a first contact, or for a member held for dead: no answer says nothing new of them.
    std::optional<NodeId> target;
    Endpoint endpoint;
    Instant sentAt;
    bool helpersAsked { false };
    // Sent to a suspect before it is held for dead; a failure says nothing of this node's own reach.
    bool isLastChance { false };
};

// Since when a member is suspected, and whether this node itself has tried to reach it meanwhile.
struct Suspicion {
    Instant begun;
    bool isProbed { false };
};

// A probe sent on behalf of another member.
struct RelayedProbe {
    Endpoint asker;
    uint64_t askerSequence { 0 };
    Instant sentAt;
};

struct Membership::State {
    State(Board&, const Clock&, RandomSource&, MembershipSettings);

    // Lifecycle, in Membership.cpp.
    void tick(Instant now, Effects&);
    void notePause(Instant now);
    // Whether a message may be older than the latest pause: it may have waited in the socket's buffer.
    bool distrusts(Instant now) const { return now < distrustUntil; }
    void forgetFleet();
    void startJoining(Instant now);
    bool joining(Instant now) const { return now < joinUntil; }
    void takeLocalFacts(Instant now, Effects&);
    void publishSelf(Instant now, bool whole);
    void publishHealth();
    void refill(Instant now);
    // Times that each update is told.
    uint32_t tellLimit() const;

    // Probes and suspicions, in Probing.cpp.
    void probeNext(Instant now, Effects&);
    void reconnect(Instant now, Effects&);
    PendingProbe& sendProbe(const Endpoint&, std::optional<NodeId> target, Instant now, Effects&);
    void escalateProbes(Instant now, Effects&);
    void askHelpers(uint64_t sequence, const PendingProbe&, Effects&);
    void fail(const PendingProbe&, Instant now, Effects&);
    void expireSuspicions(Instant now, Effects&);
    void settle(NodeId, Instant now, Effects&);
    void giveLastChance(NodeId, Suspicion&, Instant now, Effects&);
    void noteAnswer(bool answered, Instant now);
    bool inDoubt(Instant now) const;
    Instant reachProofFrom() const;
    Duration suspicionTimeout() const;
    void answered(const PendingProbe&, Instant now, Effects&);
    void acknowledge(const Endpoint& to, uint64_t sequence, const Endpoint& target, Effects&);
    void handle(const Endpoint& from, const Probe&, Instant now, Effects&);
    void handle(const Endpoint& from, const ProbeAcknowledgement&, Instant now, Effects&);

    // Spreading and comparing, in Exchange.cpp.
    void exchangeDigest(Instant now, Effects&);
    void spreadNews(Effects&);
    void mergeAll(const Endpoint& from, std::span<const MemberUpdate>, Instant now, Effects&);
    void mergeOne(const Endpoint& from, const MemberUpdate&, Instant now, Effects&);
    void refute(const MemberUpdate&, Instant now);
    void hear(const Endpoint& from, const ConfigurationNews&, std::optional<Instant> askedAt);
    ConfigurationNews news() const;
    std::vector<MemberUpdate> updatesFor(std::optional<NodeId> receiver, size_t baseSize);
    void introduceOthers(std::vector<MemberUpdate>&, size_t room);
    void handle(const Endpoint& from, const MemberDigest&, Instant now, Effects&);
    void handle(const Endpoint& from, const MemberBuckets&, Instant now, Effects&);
    void sendBuckets(const Endpoint& to, std::span<const uint32_t> differing, Effects&);
    void answerBuckets(const Endpoint& to, const MemberBuckets&, Effects&);
    void send(const Endpoint& to, ControlMessage, Effects&);

    Board& board;
    const Clock& clock;
    RandomSource& random;
    const MembershipSettings settings;
    const NodeId selfId;

    mutable std::mutex lock;
    Listener listener;
    MemberTable table;
    GossipQueue queue;
    MemberUpdate self;
    std::vector<uint32_t> quotaSlots;
    std::vector<Endpoint> contacts;

    uint64_t lastSequence { 0 };
    std::unordered_map<uint64_t, PendingProbe> pending;
    std::unordered_map<uint64_t, RelayedProbe> relayed;
    std::unordered_map<NodeId, Suspicion> suspicions;

    Instant lastTick;
    Instant lastRefill;
    Instant nextProbe;
    Instant nextReconnect;
    Instant nextDigest;
    Instant nextSweep;
    Instant joinUntil;
    // Members that have said in a row that they know nothing else.
    uint32_t joinRound { 0 };
    Instant distrustUntil;
    Duration contactPeriod { 0 };
    // Smoothed share of own probes that were answered, and since when it has been too low to trust oneself.
    double answeredShare;
    Instant doubtSince;
    // Bytes that may be sent now; below 0 when probes took more.
    double allowance { 0 };
    // Times that a new configuration number has yet to be told, and the number.
    uint32_t newsToTell { 0 };
    uint64_t newsTold { 0 };
};

} // namespace Vanillaridge

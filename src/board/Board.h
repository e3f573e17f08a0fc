/// The blackboard: all that a node knows. Controllers read facts from it and write facts to it; they do not call each
/// other, and the board itself decides nothing.
///
/// Each table is in shards, each shard under its own lock. Whatever a controller wants sent it leaves in the outbox,
/// from where a transport takes it.
#pragma once

#include "board/Counters.h"
#include "board/Records.h"
#include "board/Sharded.h"

namespace Vanillaridge {

/// Who this node is. Fixed for the life of the process.
struct Identity {
    Endpoint endpoint;
    ZoneName zone;
    BootId boot;
    Incarnation incarnation;
    NodeId id() const { return NodeId::of(endpoint); }
};

/// A control message and where it goes.
struct OutgoingMessage {
    Endpoint to;
    ControlMessage message;
};

/// Control messages on their way out. Any thread may post; whoever drains is woken by the listener.
class Outbox {
public:
    /// Called after each post, outside any lock. Must not block.
    using Listener = std::function<void()>;

    void post(Endpoint to, ControlMessage);
    std::vector<OutgoingMessage> drain();
    /// To be set before the first post.
    void onPost(Listener);

private:
    std::mutex m_lock;
    std::vector<OutgoingMessage> m_messages;
    Listener m_listener;
};

/// The configuration in force and what is known of its freshness.
class ConfigurationFacts {
public:
    /// Nothing until one has been accepted.
    ConfigurationPointer inForce() const;
    /// Puts a configuration in force if its number is higher than the present one's; tells whether it did.
    bool adopt(ConfigurationPointer);

    FreshnessRecord freshness() const;
    /// Runs `use(FreshnessRecord&)` under the lock.
    template <typename Use> decltype(auto) updateFreshness(Use&& use)
    {
        std::lock_guard guard(m_lock);
        return use(m_freshness);
    }

private:
    mutable std::mutex m_lock;
    ConfigurationPointer m_inForce;
    FreshnessRecord m_freshness;
};

/// Whether callers' connections are accepted.
class IntakeFacts {
public:
    IntakeRecord record() const;
    /// Runs `use(IntakeRecord&)` under the lock.
    template <typename Use> void update(Use&& use)
    {
        std::lock_guard guard(m_lock);
        use(m_record);
    }

private:
    mutable std::mutex m_lock;
    IntakeRecord m_record;
};

/// All facts of one node.
class Board {
public:
    explicit Board(Identity);
    ~Board();

    const Identity& self() const;

    Sharded<NodeId, MemberRecord>& members();
    /// Backend servers by service.
    Sharded<ServiceName, ServerGroup>& servers();
    /// Backend servers that announced themselves here, by service.
    Sharded<ServiceName, LocalServerRecord>& localServers();
    /// Backend servers that have left this node, by the stable hash of their own name for themselves.
    Sharded<uint64_t, DepartureRecord>& departures();
    /// Departures kept for other nodes, by a hash of the node and its process.
    Sharded<uint64_t, WitnessRecord>& witnessed();
    /// What requests cost at backend servers, learned from their completions.
    Sharded<CostKey, CostRecord>& costs();
    /// Shed levels told by answers, by route and account.
    Sharded<FlowKey, ShedRecord>& shedRecords();
    Sharded<RouteName, RouteCallsRecord>& routeCalls();
    Sharded<RequestId, EntryRecord>& entries();
    Sharded<AttemptId, AttemptRecord>& attempts();
    /// Attempts at the local backend server by the id that their caller gave the request, where it gave one.
    Sharded<std::string, AttemptId>& attemptsByLabel();
    Sharded<AttemptId, VerdictRecord>& verdicts();
    Sharded<DuplicateKey, DuplicateRecord>& duplicates();
    ConfigurationFacts& configuration();
    IntakeFacts& intake();
    Outbox& outbox();
    Counters& counters();

    /// Whether this node is leaving: its backend servers are announced as draining, and it gives up its duties.
    bool draining() const;
    /// \param end when running requests are cut off at the latest
    void startDraining(Instant end);
    /// Time that requests still have here: until a stop that is under way cuts them off, less what a last answer needs.
    /// Nothing while this node is not leaving.
    std::optional<Duration> timeBeforeStop(Instant now) const;
    /// Whether it has been leaving for long enough that others know: it takes no new attempts, and no requests but the
    /// calls of those that run beside it.
    bool refusesNewWork() const;
    void startRefusingNewWork();

    /// How late this node's event loop is, on the average of the last tenths of a second: what each step of a request
    /// waits for the processor here.
    Duration lag() const;
    void noteLag(Duration);

private:
    struct Facts;
    std::unique_ptr<Facts> m_facts;
};

} // namespace Vanillaridge

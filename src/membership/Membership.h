/// Membership of the fleet: who is there, what servers each member has, and what configuration number is the newest.
///
/// Members probe each other at random (SWIM): what is said of them travels on the probes, so that a member's cost does
/// not grow with the fleet; a periodic exchange of digests finds what was missed. Facts are written to board.members(),
/// which holds this node too, and to the freshness record of board.configuration(); messages go to board.outbox().
#pragma once

#include "board/Board.h"

namespace Vanillaridge {

struct MembershipSettings {
    /// One member is probed per period.
    Duration probePeriod { milliseconds(500) };
    /// Time without an answer after which other members are asked to probe for this one.
    Duration directTimeout { milliseconds(250) };
    /// Time without any answer after which a member is suspected.
    Duration probeTimeout { seconds(1) };
    /// Members asked to probe on this one's behalf.
    uint32_t helpers { 3 };
    /// Probe periods for each doubling of the fleet, after which a suspect that has not spoken up counts as dead.
    double suspicionFactor { 2 };
    /// Time between two exchanges of digests; 0 for none.
    Duration digestPeriod { seconds(10) };
    /// The same while this node has yet to learn the fleet, and how long that may last.
    Duration joinPeriod { milliseconds(250) };
    Duration joinLimit { std::chrono::minutes(2) };
    /// One member held for dead, or one first contact, is tried again per period.
    Duration reconnectPeriod { seconds(5) };
    /// How long members that left or died are remembered.
    Duration tombstoneTerm { std::chrono::hours(6) };
    /// A gap between two ticks that counts as a pause of this node.
    Duration pauseLimit { seconds(2) };
    /// Share of answered probes below which this node doubts itself and declares nobody dead, and for how long at most:
    /// an answer of the store to this node ends it.
    double doubtShare { 0.4 };
    Duration doubtLimit { std::chrono::minutes(5) };
    /// Bytes that this node sends per second at most, beyond its probes; and while it learns the fleet.
    double bytesPerSecond { 3000 };
    double joiningBytesPerSecond { 12000 };
    /// Bytes of one datagram, as estimatedSize() counts them.
    size_t datagramLimit { 1200 };
};

/// May be called from several threads. References must outlive it.
class Membership {
public:
    /// Told, outside any lock, which members changed in state or in what they announce.
    using Listener = std::function<void(std::span<const NodeId> changed)>;

    Membership(Board&, const Clock&, RandomSource&, MembershipSettings);
    ~Membership();

    /// To be set before the first tick.
    void onChange(Listener);
    /// Adds members to try first, from settings or from directory objects.
    void contacts(std::span<const Endpoint>);
    /// Does what is due; to be called every 50 to 100 ms. Also takes up changes of board.localServers() and of
    /// board.draining(), which marks all servers as draining.
    void tick();

    void receive(const Endpoint& from, const Probe&);
    void receive(const Endpoint& from, const ProbeAcknowledgement&);
    void receive(const Endpoint& from, const MemberDigest&);
    void receive(const Endpoint& from, const MemberBuckets&);

    /// Tells the fleet which quota slots this node holds.
    void setQuotaSlots(std::span<const uint32_t>);
    /// Says goodbye, so that nobody has to find out. Further ticks only repeat it.
    void leave();

    /// The incarnation this node goes by, which may have grown since it started.
    Incarnation incarnation() const;
    /// Members that are alive or suspected, this one included.
    size_t liveMembers() const;
    /// Whether so few probes are answered that this node may be the one cut off; it judges nobody meanwhile.
    bool inDoubt() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Vanillaridge

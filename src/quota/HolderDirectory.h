/// Who holds which slot, who should, and where accounts have their home, as the members on the board tell.
#pragma once

#include "quota/Quota.h"

namespace Vanillaridge {

/// One reading of the members. Never changes once built.
class HolderDirectory {
public:
    HolderDirectory(Board&, uint32_t slots, Instant now, Duration handoverDelay, const HolderDirectory* before);

    /// Other live members that say they hold the slot.
    std::span<const Endpoint> holders(uint32_t slot) const { return m_holders[slot]; }
    /// Whether this node is the one that should hold the slot.
    bool prefersSelf(uint32_t slot) const { return m_preferred[slot] == m_self; }
    /// Whether another member has been the one that should hold the slot for the delay.
    bool prefersOther(uint32_t slot) const { return m_handsOver[slot]; }
    /// The account's home; empty if it is this node.
    Endpoint home(uint64_t accountHash) const;

private:
    struct Candidate {
        NodeId node;
        Endpoint endpoint;
    };

    const Candidate& best(uint64_t key) const;
    void readMembers(Board&);
    void preferNodes(const HolderDirectory* before);

    NodeId m_self;
    uint64_t m_fingerprint { 0 };
    std::vector<Candidate> m_candidates;
    std::vector<std::vector<Endpoint>> m_holders;
    std::vector<NodeId> m_preferred;
    std::vector<Instant> m_preferredSince;
    std::vector<bool> m_handsOver;
};

} // namespace Vanillaridge

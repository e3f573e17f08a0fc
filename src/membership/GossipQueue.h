// News of members on their way out, those told least often first.
#pragma once

#include "membership/MemberTable.h"

#include <set>

namespace Vanillaridge {

// To be used under one lock.
class GossipQueue {
public:
    // Has a member's update told; `whole` with everything that it says of itself.
    void push(NodeId, bool whole);
    bool empty() const { return m_order.empty(); }
    // Takes updates that fit into the given bytes; each is dropped once it was told `limit` times.
    std::vector<MemberUpdate> take(const MemberTable&, size_t bytes, uint32_t limit);

private:
    struct Item {
        uint32_t timesTold { 0 };
        uint64_t sequence { 0 };
        bool whole { false };
    };
    // Least told first, and among those the newest.
    struct Place {
        uint32_t timesTold;
        uint64_t sequence;
        NodeId member;
        bool operator<(const Place& other) const
        {
            return timesTold != other.timesTold ? timesTold < other.timesTold : sequence > other.sequence;
        }
    };

    void told(NodeId, uint32_t limit);

    std::unordered_map<NodeId, Item> m_items;
    std::set<Place> m_order;
    uint64_t m_lastSequence { 0 };
};

} // namespace Vanillaridge

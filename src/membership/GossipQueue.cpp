#include "membership/GossipQueue.h"

namespace Vanillaridge {

namespace {

    // Updates that may be passed over because they do not fit, before a datagram counts as full.
    constexpr uint32_t misfitLimit = 3;

} // namespace

void GossipQueue::push(NodeId member, bool whole)
{
    auto& item = m_items[member];
    m_order.erase({ item.timesTold, item.sequence, member });
    item = { 0, ++m_lastSequence, whole || item.whole };
    m_order.insert({ item.timesTold, item.sequence, member });
}

std::vector<MemberUpdate> GossipQueue::take(const MemberTable& table, size_t bytes, uint32_t limit)
{
    std::vector<MemberUpdate> taken;
    std::vector<NodeId> members;
    uint32_t misfits = 0;
    for (auto place = m_order.begin(); place != m_order.end() && misfits < misfitLimit; ++place) {
        auto update = table.update(place->member, m_items[place->member].whole);
        const auto size = update ? estimatedSize(*update) : 0;
        if (size > bytes) {
            ++misfits;
            continue;
        }
        members.push_back(place->member);
        bytes -= size;
        if (update)
            taken.push_back(std::move(*update));
    }
    for (const auto member : members)
        told(member, limit);
    return taken;
}

void GossipQueue::told(NodeId member, uint32_t limit)
{
    const auto found = m_items.find(member);
    auto& item = found->second;
    m_order.erase({ item.timesTold, item.sequence, member });
    if (++item.timesTold >= limit)
        m_items.erase(found);
    else
        m_order.insert({ item.timesTold, item.sequence, member });
}

} // namespace Vanillaridge

#include "quota/HolderDirectory.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    // Keeps the hashes that place slots apart from those that place accounts.
    constexpr uint64_t slotSalt = 0x736c6f7473;

} // namespace

HolderDirectory::HolderDirectory(
    Board& board, uint32_t slots, Instant now, Duration handoverDelay, const HolderDirectory* before)
    : m_self(board.self().id())
    , m_holders(slots)
    , m_preferred(slots)
    , m_preferredSince(slots, now)
    , m_handsOver(slots)
{
    readMembers(board);
    preferNodes(before);
    for (uint32_t slot = 0; slot < slots; ++slot) {
        if (before && before->m_preferred[slot] == m_preferred[slot])
            m_preferredSince[slot] = before->m_preferredSince[slot];
        m_handsOver[slot] = m_preferred[slot] != m_self && now - m_preferredSince[slot] >= handoverDelay;
    }
}

namespace {

    // Whether the member's backend servers are all leaving, as they do when the member itself is.
    bool isLeaving(const MemberUpdate& said)
    {
        return !said.servers.empty()
            && std::ranges::all_of(said.servers, [](const ServerAnnouncement& server) { return server.draining; });
    }

} // namespace

// Suspects still count: a false suspicion must not move slots.
void HolderDirectory::readMembers(Board& board)
{
    if (!board.draining())
        m_candidates.push_back({ m_self, board.self().endpoint });
    m_fingerprint = board.draining() ? 0 : mixHash(m_self.value, 0);
    board.members().forEach([&](NodeId node, const MemberRecord& member) {
        const bool live = member.said.state == MemberState::Alive || member.said.state == MemberState::Suspect;
        if (!live || node == m_self)
            return;
        if (!isLeaving(member.said)) {
            m_candidates.push_back({ node, member.said.endpoint });
            m_fingerprint += mixHash(node.value, 0);
        }
        for (const auto slot : member.said.quotaSlots) {
            if (slot < m_holders.size())
                m_holders[slot].push_back(member.said.endpoint);
        }
    });
}

// Rendezvous hashing over the live members; left as it was while they are the same.
void HolderDirectory::preferNodes(const HolderDirectory* before)
{
    if (before && before->m_fingerprint == m_fingerprint && before->m_candidates.size() == m_candidates.size()) {
        m_preferred = before->m_preferred;
        return;
    }
    for (uint32_t slot = 0; slot < m_preferred.size() && !m_candidates.empty(); ++slot)
        m_preferred[slot] = best(mixHash(slotSalt, slot)).node;
}

const HolderDirectory::Candidate& HolderDirectory::best(uint64_t key) const
{
    size_t found = 0;
    uint64_t heaviest = 0;
    for (size_t i = 0; i < m_candidates.size(); ++i) {
        const auto weight = mixHash(m_candidates[i].node.value, key);
        if (weight >= heaviest) {
            heaviest = weight;
            found = i;
        }
    }
    return m_candidates[found];
}

Endpoint HolderDirectory::home(uint64_t accountHash) const
{
    if (m_candidates.empty())
        return {};
    const auto& home = best(accountHash);
    return home.node == m_self ? Endpoint() : home.endpoint;
}

} // namespace Vanillaridge

#include "membership/MemberTable.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    // Contribution of a member to the hash of its bucket. A suspicion passes and does not count; members that are gone
    // do not count either, so that nobody needs to remember them for the digests to agree.
    uint32_t hashOf(NodeId id, const MemberUpdate& said)
    {
        if (!isLive(said.state))
            return 0;
        const auto life = mixHash(id.value, said.boot.value);
        return static_cast<uint32_t>(mixHash(mixHash(life, said.incarnation.value), said.version));
    }

    bool isWhole(const MemberUpdate& update) { return !update.zone.empty(); }

    // Whether the update tells more of the member's own content than the record holds.
    bool bringsContent(const MemberUpdate& update, const MemberUpdate& held)
    {
        if (!isWhole(update))
            return false;
        return update.boot == held.boot ? update.version > held.version
                                        : update.incarnation.value > held.incarnation.value;
    }

    void takeContent(const MemberUpdate& update, MemberUpdate& held)
    {
        held.zone = update.zone;
        held.boot = update.boot;
        held.version = update.version;
        held.servers = update.servers;
        held.quotaSlots = update.quotaSlots;
    }

    // Keeps what was said of an earlier life from being taken for this one's; the digest then finds what is missing.
    void startUnknownLife(const MemberUpdate& update, MemberUpdate& held)
    {
        held.boot = update.boot;
        held.version = 0;
        held.servers.clear();
        held.quotaSlots.clear();
    }

    // Whether the member has to settle which of its lives is the present one: it restarted with an incarnation that was
    // not higher than the one before.
    bool isConflict(const MemberUpdate& update, bool isOwnWord, const MemberUpdate& held)
    {
        if (update.boot == held.boot || !isLive(update.state))
            return false;
        const auto older = update.incarnation.value < held.incarnation.value;
        return update.incarnation.value == held.incarnation.value || (older && isOwnWord);
    }

    // The state that an update leads to. Within one incarnation the states only get worse.
    std::optional<MemberState> nextState(const MemberUpdate& update, const MemberUpdate& held)
    {
        const auto newer = update.incarnation.value > held.incarnation.value;
        if (!newer && update.state <= held.state)
            return std::nullopt;
        // One half of a fleet that was cut in two brings its deaths to the other: whoever they are said of gets the
        // time to answer.
        if (update.state == MemberState::Dead && held.state == MemberState::Alive)
            return MemberState::Suspect;
        return update.state;
    }

} // namespace

void MemberList::swap(size_t left, size_t right)
{
    std::swap(m_members[left], m_members[right]);
    m_places[m_members[left]] = left;
    m_places[m_members[right]] = right;
}

void MemberList::add(NodeId id, RandomSource& random)
{
    if (!m_places.emplace(id, m_members.size()).second)
        return;
    m_members.push_back(id);
    swap(random.below(m_members.size()), m_members.size() - 1);
}

void MemberList::remove(NodeId id)
{
    const auto found = m_places.find(id);
    if (found == m_places.end())
        return;
    swap(found->second, m_members.size() - 1);
    m_members.pop_back();
    m_places.erase(id);
}

std::optional<NodeId> MemberList::draw(RandomSource& random) const
{
    if (m_members.empty())
        return std::nullopt;
    return m_members[random.below(m_members.size())];
}

std::optional<NodeId> MemberList::next()
{
    if (m_members.empty())
        return std::nullopt;
    m_position = (m_position + 1) % m_members.size();
    return m_members[m_position];
}

MemberTable::MemberTable(Board& board, RandomSource& random)
    : m_board(board)
    , m_self(board.self().id())
    , m_random(random)
{
}

template <typename Change> void MemberTable::apply(NodeId id, Change&& change)
{
    const auto state = m_board.members().with(id, [&](auto& records) {
        const auto [place, isNew] = records.try_emplace(id);
        auto& record = place->second;
        auto& bucket = bucketOf(id);
        if (isNew)
            bucket.members.push_back(id);
        else
            bucket.hash ^= hashOf(id, record.said);
        change(record);
        bucket.hash ^= hashOf(id, record.said);
        return record.said.state;
    });
    relist(id, state);
}

// Keeps each member in the one list that its state asks for, and this node in none.
void MemberTable::relist(NodeId id, std::optional<MemberState> state)
{
    if (id == m_self)
        return;
    state&& isLive(*state) ? m_live.add(id, m_random) : m_live.remove(id);
    state == MemberState::Dead ? m_dead.add(id, m_random) : m_dead.remove(id);
}

void MemberTable::storeSelf(const MemberUpdate& self, Instant now)
{
    apply(m_self, [&](MemberRecord& record) {
        if (record.said.state != self.state || record.since == Instant())
            record.since = now;
        record.said = self;
        record.lastHeard = now;
    });
}

Merged MemberTable::merge(const MemberUpdate& update, bool isOwnWord, Instant now)
{
    const auto id = NodeId::of(update.endpoint);
    const auto known = state(id);
    // 1. Somebody new: taken up if all is told, and not if it is gone, or memories of the gone would go round forever.
    if (!known) {
        if (!isWhole(update) || !isLive(update.state))
            return Merged::Nothing;
        apply(id, [&](MemberRecord& record) { record = { update, now, Instant() }; });
        return Merged::Content;
    }
    // 2. Otherwise content and state are taken up each for itself.
    auto merged = Merged::Nothing;
    apply(id, [&](MemberRecord& record) {
        auto& held = record.said;
        if (isConflict(update, isOwnWord, held))
            merged = Merged::Conflict;
        if (merged == Merged::Conflict || update.incarnation.value < held.incarnation.value)
            return;
        const auto next = nextState(update, held);
        if (bringsContent(update, held)) {
            takeContent(update, held);
            merged = Merged::Content;
        } else if (update.incarnation.value > held.incarnation.value && update.boot != held.boot) {
            startUnknownLife(update, held);
        }
        held.incarnation = update.incarnation;
        if (!next)
            return;
        if (held.state != *next)
            record.since = now;
        held.state = *next;
        if (merged == Merged::Nothing)
            merged = Merged::State;
    });
    return merged;
}

void MemberTable::judge(NodeId id, MemberState state, Instant now)
{
    apply(id, [&](MemberRecord& record) {
        record.said.state = state;
        record.since = now;
    });
}

void MemberTable::heard(NodeId id, Instant now)
{
    m_board.members().visit(id, [&](MemberRecord& record) { record.lastHeard = now; });
}

std::optional<MemberUpdate> MemberTable::update(NodeId id, bool whole) const
{
    std::optional<MemberUpdate> found;
    m_board.members().visit(id, [&](const MemberRecord& record) {
        const auto& said = record.said;
        if (whole)
            found = said;
        else
            found = MemberUpdate { said.endpoint, {}, said.incarnation, said.version, said.boot, said.state, {}, {} };
    });
    return found;
}

std::optional<MemberState> MemberTable::state(NodeId id) const
{
    std::optional<MemberState> found;
    m_board.members().visit(id, [&](const MemberRecord& record) { found = record.said.state; });
    return found;
}

std::optional<Endpoint> MemberTable::endpoint(NodeId id) const
{
    std::optional<Endpoint> found;
    m_board.members().visit(id, [&](const MemberRecord& record) { found = record.said.endpoint; });
    return found;
}

std::vector<uint64_t> MemberTable::digest() const
{
    std::vector<uint64_t> digest;
    digest.reserve(bucketCount / 2);
    for (size_t i = 0; i < bucketCount; i += 2)
        digest.push_back(uint64_t { m_buckets[i].hash } << 32 | m_buckets[i + 1].hash);
    return digest;
}

std::vector<uint32_t> MemberTable::differingBuckets(std::span<const uint64_t> theirs) const
{
    const auto ours = digest();
    std::vector<uint32_t> differing;
    for (size_t i = 0; i < std::min(ours.size(), theirs.size()); ++i) {
        const auto difference = ours[i] ^ theirs[i];
        if (difference >> 32)
            differing.push_back(static_cast<uint32_t>(2 * i));
        if (static_cast<uint32_t>(difference))
            differing.push_back(static_cast<uint32_t>(2 * i + 1));
    }
    return differing;
}

std::span<const NodeId> MemberTable::bucket(uint32_t index) const
{
    if (index >= bucketCount)
        return {};
    return m_buckets[index].members;
}

void MemberTable::forget(NodeId id)
{
    m_board.members().erase(id);
    std::erase(bucketOf(id).members, id);
    relist(id, std::nullopt);
}

void MemberTable::dropTombstones(Instant now, Duration term)
{
    std::vector<NodeId> expired;
    m_board.members().forEach([&](NodeId id, const MemberRecord& record) {
        if (!isLive(record.said.state) && now - record.since > term && id != m_self)
            expired.push_back(id);
    });
    for (const auto id : expired)
        forget(id);
}

void MemberTable::clear()
{
    for (auto& bucket : m_buckets) {
        const auto members = bucket.members;
        for (const auto id : members) {
            if (id == m_self)
                continue;
            m_board.members().visit(id, [&](const MemberRecord& record) { bucket.hash ^= hashOf(id, record.said); });
            forget(id);
        }
    }
}

} // namespace Vanillaridge

// The members as the board holds them, and what has to be kept in step with each change of one: the digest's buckets
// and the lists to choose members from.
#pragma once

#include "board/Board.h"

#include <unordered_map>

namespace Vanillaridge {

// Buckets that members are spread over for the digest; the digest gives 32 bits for each.
constexpr size_t bucketCount = 256;

// A set of members that one can be drawn from, or walked through in a random order.
class MemberList {
public:
    void add(NodeId, RandomSource&);
    void remove(NodeId);
    std::optional<NodeId> draw(RandomSource&) const;
    // The next one of a round through all of them.
    std::optional<NodeId> next();
    size_t size() const { return m_members.size(); }
    bool contains(NodeId id) const { return m_places.contains(id); }

private:
    void swap(size_t, size_t);

    std::vector<NodeId> m_members;
    std::unordered_map<NodeId, size_t> m_places;
    size_t m_position { 0 };
};

// What an update changed; a conflict is about two lives of one member of which neither is known to be the later.
enum class Merged : uint8_t { Nothing, State, Content, Conflict };

// To be used under one lock; the board's own locks only cover its readers.
class MemberTable {
public:
    MemberTable(Board&, RandomSource&);

    // Writes this node's own record, whatever was there.
    void storeSelf(const MemberUpdate&, Instant now);
    // Takes up what somebody said of another member, or the member of itself. A death is taken up as a suspicion if
    // there was none.
    Merged merge(const MemberUpdate&, bool isOwnWord, Instant now);
    // Changes the state of a member at its present incarnation.
    void judge(NodeId, MemberState, Instant now);
    void heard(NodeId, Instant now);

    // Everything known of a member; with `whole` false its state only.
    std::optional<MemberUpdate> update(NodeId, bool whole) const;
    std::optional<MemberState> state(NodeId) const;
    std::optional<Endpoint> endpoint(NodeId) const;

    // Members other than this one that are alive or suspected, and those held for dead.
    MemberList& live() { return m_live; }
    MemberList& dead() { return m_dead; }
    const MemberList& live() const { return m_live; }
    const MemberList& dead() const { return m_dead; }

    // Hashes of all buckets, two in each number.
    std::vector<uint64_t> digest() const;
    std::vector<uint32_t> differingBuckets(std::span<const uint64_t> digest) const;
    std::span<const NodeId> bucket(uint32_t) const;

    // Drops members that have been gone for longer than the term.
    void dropTombstones(Instant now, Duration term);
    // Drops everybody but this node.
    void clear();

private:
    struct Bucket {
        uint32_t hash { 0 };
        std::vector<NodeId> members;
    };

    // Runs `change(MemberRecord&)` and brings buckets and lists in step.
    template <typename Change> void apply(NodeId, Change&&);
    void relist(NodeId, std::optional<MemberState>);
    void forget(NodeId);
    Bucket& bucketOf(NodeId id) { return m_buckets[id.value % bucketCount]; }

    Board& m_board;
    const NodeId m_self;
    RandomSource& m_random;
    std::array<Bucket, bucketCount> m_buckets;
    MemberList m_live;
    MemberList m_dead;
};

inline bool isLive(MemberState state) { return state == MemberState::Alive || state == MemberState::Suspect; }

} // namespace Vanillaridge

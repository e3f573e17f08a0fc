/// The slots of this node: their leases in the store, and the buckets that they allow it to keep.
#pragma once

#include "quota/Bucket.h"
#include "quota/LeaseRecord.h"

#include <atomic>

namespace Vanillaridge {

/// Takes, renews, uses and frees slot leases.
///
/// A taker must see an object unchanged for a whole term on its own clock before it overwrites it. A holder counts its
/// term from before it sent its last renewal that took effect, and stops a margin earlier. Lost answers are resolved by
/// reading back. A new holder starts with empty buckets.
///
/// A store that is restored from a backup may show a slot as free, or as held by an earlier holder, that was taken
/// since. A record that was not written in the present era therefore allows nobody to take the slot before the longest
/// term of a lease has passed, and a holder whose lease has not run out writes it again.
class Slots : public std::enable_shared_from_this<Slots> {
public:
    using SlotTest = std::function<bool(uint32_t)>;

    Slots(Board&, Clock&, RandomSource&, ObjectStore&, const QuotaSettings&);

    /// Draws tokens for the plan's account; nothing if this node can't use the slot now.
    /// \param pull names the draw, for giveBack()
    std::optional<QuotaDraw> draw(uint32_t slot, const QuotaPlan&, uint64_t pull, double wanted, double least);
    /// Takes back tokens of a draw; false if this node can't use the slot now. See Bucket::giveBack().
    bool giveBack(uint32_t slot, const QuotaPlan&, uint64_t pull, double total);
    /// Goes over to changed plans, also for accounts that nobody asks about.
    void adopt(const QuotaPlans&, Instant now);
    /// Finds the slots that an earlier run of this node held, with one list; does nothing once that has succeeded.
    void findOwn();
    /// Whether findOwn() found that an earlier run of this node held the slot.
    bool heldBefore(uint32_t slot);
    /// Takes the next step of every lease that needs one. `wanted` tells whether this node should take a slot,
    /// `better` whether another member should have one that this node holds.
    void advance(Duration term, const SlotTest& wanted, const SlotTest& better);
    /// Stops the use of all slots and frees them.
    void release();
    bool released();
    std::vector<uint32_t> held();

private:
    enum class Phase : uint8_t {
        /// Not this node's business.
        Idle,
        /// Waits for a whole term without a change.
        Observing,
        Held,
        /// Not used any more, but not yet free in the store.
        Releasing,
    };

    struct Slot {
        Phase phase { Phase::Idle };
        /// Whether a call to the store is under way.
        bool calling { false };
        /// Whether an earlier run of this node held it when this run started.
        bool heldBefore { false };
        /// Whether a write may have taken effect without an answer: nothing is written before a read.
        bool unsure { false };
        Instant nextCall { Instant::min() };
        /// Of the object, as last read or written.
        StoreVersion version;
        /// Identity of the last write, and when it was sent.
        uint64_t nonce { 0 };
        Instant sentAt;
        Duration term { 0 };
        /// Since when this node holds the slot without a break; buckets are empty then.
        Instant since;
        Instant validUntil;
        /// When the object was first seen as it is, and the term that its holder wrote.
        Instant observedAt;
        Duration observedTerm { 0 };
        std::unordered_map<uint64_t, Bucket> buckets;
    };

    enum class Step : uint8_t { None, Read, Take, Renew, Free };

    /// Has every lease read back once the store has begun another era.
    void noteEra(Instant now);
    /// Longest term that any lease may have.
    Duration longestTerm() const;
    /// Whether the object tells of leases as they were before the store was restored; the record is the object's.
    bool isOutdated(const StoredObject&, const std::optional<LeaseRecord>&, Instant now) const;
    Step nextStep(Slot&, Instant now, bool wanted, bool handsOver) const;
    Step begin(Slot&, Step, Duration term);
    void call(uint32_t slot, Step, StoreVersion, const std::string& value);
    void onList(const StoreResult<std::vector<StoredObject>>&);
    void onRead(uint32_t slot, const StoreResult<StoredObject>&);
    void onWritten(uint32_t slot, Step, const StoreResult<StoreVersion>&);
    void onObject(Slot&, const StoredObject&, Instant now);
    void onOwnObject(Slot&, const StoredObject&, bool isLastWrite, Instant now);
    void observe(Slot&, StoreVersion, Duration term, Instant now);
    void hold(Slot&, StoreVersion, Instant now);
    void extend(Slot&, StoreVersion);
    void lose(Slot&);
    void backOff(Slot&, Instant now);
    bool usable(const Slot& slot, Instant now) const
    {
        return slot.phase == Phase::Held && now < slot.validUntil && !m_releasing;
    }
    Bucket& bucketOf(Slot&, const QuotaPlan&, uint32_t index, Instant now);

    Board& m_board;
    Clock& m_clock;
    RandomSource& m_random;
    ObjectStore& m_store;
    const QuotaSettings& m_settings;
    const Instant m_startedAt;
    std::atomic<bool> m_releasing { false };
    std::atomic<Instant> m_nextHandover { Instant::min() };
    /// When findOwn() may list the slots again; never once a list has been read.
    std::atomic<Instant> m_nextList { Instant::min() };
    /// The store's latest era, and when this node learnt that it had begun; unknown before the store's first answer,
    /// and for the era of that.
    static constexpr uint64_t unknownEra = UINT64_MAX;
    std::atomic<uint64_t> m_era { unknownEra };
    std::atomic<Instant> m_restoredAt { Instant::min() };
    Sharded<uint32_t, Slot> m_slots;
};

} // namespace Vanillaridge

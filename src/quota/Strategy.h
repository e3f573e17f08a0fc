/// What differs between the ways of sharing out an account's rate: plans, drawn up once for each configuration.
#pragma once

#include "quota/Quota.h"

namespace Vanillaridge {

/// Slots of the "static-split" strategy: every node holds them for itself, without a lease. They follow the leased ones
/// in number, so that accounts still spread over several locks.
constexpr uint32_t localSlotCount = 16;

/// How one account's rate and burst are served. The same on all nodes that go by the same configuration and settings.
struct QuotaPlan {
    uint64_t accountHash { 0 };
    /// Slots that the account spreads over.
    uint32_t slots { 0 };
    /// First of them; the others follow in a ring.
    uint32_t firstSlot { 0 };
    /// Tokens per second that each slot creates, and the most that it keeps.
    double slotRate { 0 };
    double slotCapacity { 0 };
    /// Tokens per second of all slots.
    double rate { 0 };
    /// How long a token lives after the pull that fetched it was sent.
    Duration validity { 0 };
    /// Whether nodes pull tokens ahead of demand, or only what waiting requests need.
    bool pullsAhead { false };
    /// Whether nodes pull from the account's home instead of from the slots.
    bool usesHome { false };
    /// Slots from this index on were empty at this instant: they are new in the plan.
    uint32_t firstNewIndex { 0 };
    Instant newSince { Instant::min() };

    /// Whether another plan creates and keeps tokens in the same way.
    bool createsLike(const QuotaPlan&) const;
    /// Index of a slot among the account's; nothing if it is not one of them.
    std::optional<uint32_t> indexOf(uint32_t slot, uint32_t ring) const;
    uint32_t slotAt(uint32_t index, uint32_t ring) const
    {
        return firstSlot < ring ? (firstSlot + index) % ring : firstSlot;
    }
};

/// A way of sharing out rates, chosen by name in the manifest.
class QuotaStrategy {
public:
    virtual ~QuotaStrategy() = default;
    virtual std::string_view name() const = 0;
    /// Whether tokens are created under leases in the store, rather than by each node for itself.
    virtual bool usesLeases() const { return true; }
    virtual Duration leaseTerm(const QuotaSettings& settings) const { return settings.leaseTerm; }
    virtual QuotaPlan plan(const ClientAccount&, const QuotaSettings&) const = 0;
};

/// The strategy of that name; "conserved" for an unknown one.
const QuotaStrategy& quotaStrategy(std::string_view name);

/// The plans of one configuration.
struct QuotaPlans {
    uint64_t generation { 0 };
    const QuotaStrategy* strategy { nullptr };
    std::unordered_map<AccountName, QuotaPlan> byAccount;
    std::unordered_map<uint64_t, const QuotaPlan*> byHash;

    const QuotaPlan* find(std::string_view account) const;
};

/// Draws up the plans of a configuration. What is new against the plans before starts empty `now`.
std::shared_ptr<const QuotaPlans> drawUpPlans(
    const Declarations&, const QuotaSettings&, const QuotaPlans* before, uint64_t generation, Instant now);

} // namespace Vanillaridge

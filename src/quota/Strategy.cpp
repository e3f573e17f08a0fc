#include "quota/Strategy.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace Vanillaridge {

namespace {

    // Part of a bucket's capacity that is left unused, so that rounding never adds up to a token.
    constexpr double roundingShare = 1e-9;
    // Smallest burst that lets a whole token come together while its parts are on their way.
    constexpr double wholeToken = 1.0;

    // Tokens live no longer than leaves a whole token at the slots, and most of the burst.
    Duration validityOf(const ClientAccount& account, double share, Duration longest)
    {
        const double burst = std::min(share * account.burst, account.burst - wholeToken);
        const double limit = std::max(0.0, burst) / account.rate;
        return limit < inSeconds(longest) ? fromSeconds(limit) : longest;
    }

    // Fills in what every leased strategy has in common. In any window of length t the slots give at most
    // slots x capacity + rate x (t + validity) tokens that can be used in it; the capacity makes this the bound.
    QuotaPlan leasedPlan(const ClientAccount& account, const QuotaSettings& settings, uint32_t slots, Duration validity)
    {
        QuotaPlan plan;
        plan.accountHash = stableHash(account.name);
        plan.slots = slots;
        plan.firstSlot = static_cast<uint32_t>(plan.accountHash % settings.slots);
        plan.rate = account.rate * (1 - settings.clockDrift);
        plan.slotRate = plan.rate / slots;
        plan.validity = validity;
        const double away = account.rate * inSeconds(validity) * (1 + 2 * settings.clockDrift);
        plan.slotCapacity = std::max(0.0, (account.burst - away) * (1 - roundingShare) / slots);
        return plan;
    }

    // As many slots as the rate calls for, but each must keep a token or more.
    uint32_t slotsFor(const ClientAccount& account, const QuotaSettings& settings, double burst)
    {
        const double byRate = std::ceil(account.rate / settings.ratePerSlot);
        const double wanted = std::min(std::max<double>(byRate, settings.minimumSlotsPerAccount), std::floor(burst));
        return static_cast<uint32_t>(std::clamp<double>(wanted, 1, settings.slots));
    }

    // Slots create, nodes pull straight from them, ahead of lasting demand.
    class Conserved : public QuotaStrategy {
    public:
        std::string_view name() const override { return "conserved"; }
        QuotaPlan plan(const ClientAccount& account, const QuotaSettings& settings) const override
        {
            const auto validity = validityOf(account, settings.validityShare, settings.tokenValidity);
            const auto slots = slotsFor(account, settings, account.burst - account.rate * inSeconds(validity));
            auto plan = leasedPlan(account, settings, slots, validity);
            plan.pullsAhead = true;
            return plan;
        }
    };

    // Slots create, the account's home pools, nodes pull from the home.
    class ConservedHome final : public Conserved {
    public:
        std::string_view name() const override { return "conserved-home"; }
        QuotaPlan plan(const ClientAccount& account, const QuotaSettings& settings) const override
        {
            auto plan = Conserved::plan(account, settings);
            plan.usesHome = true;
            return plan;
        }
    };

    // One owner of the whole bucket; each request fetches its own token.
    class LeasedOwner final : public QuotaStrategy {
    public:
        std::string_view name() const override { return "leased-owner"; }
        Duration leaseTerm(const QuotaSettings& settings) const override { return settings.ownerLeaseTerm; }
        QuotaPlan plan(const ClientAccount& account, const QuotaSettings& settings) const override
        {
            const auto validity = validityOf(account, settings.validityShare, settings.tokenValidity);
            return leasedPlan(account, settings, 1, validity);
        }
    };

    // Each node has its fixed part of rate and burst.
    class StaticSplit final : public QuotaStrategy {
    public:
        std::string_view name() const override { return "static-split"; }
        bool usesLeases() const override { return false; }
        QuotaPlan plan(const ClientAccount& account, const QuotaSettings& settings) const override
        {
            QuotaPlan plan;
            plan.accountHash = stableHash(account.name);
            plan.slots = 1;
            plan.firstSlot = settings.slots + static_cast<uint32_t>(plan.accountHash % localSlotCount);
            plan.rate = account.rate * (1 - settings.clockDrift) / settings.splitNodes;
            plan.slotRate = plan.rate;
            plan.validity = settings.minimumValidity;
            const double burst
                = account.burst - account.rate * inSeconds(plan.validity) * (1 + 2 * settings.clockDrift);
            plan.slotCapacity = std::max(0.0, burst * (1 - roundingShare) / settings.splitNodes);
            return plan;
        }
    };

    const Conserved conserved;
    const ConservedHome conservedHome;
    const LeasedOwner leasedOwner;
    const StaticSplit staticSplit;
    constexpr std::array<std::string_view, 4> strategyNames { "conserved", "conserved-home", "leased-owner",
        "static-split" };
    const std::array<const QuotaStrategy*, strategyNames.size()> strategies { &conserved, &conservedHome, &leasedOwner,
        &staticSplit };

    // Carries over what the plan before knew of its new slots, and dates those that are new now.
    void dateNewSlots(QuotaPlan& plan, const QuotaPlan* before, Instant now)
    {
        if (before && before->firstSlot == plan.firstSlot && before->slots >= plan.slots) {
            plan.firstNewIndex = before->firstNewIndex;
            plan.newSince = before->newSince;
            return;
        }
        plan.newSince = now;
        if (!before || before->firstSlot != plan.firstSlot)
            return;
        const bool onlyThese = before->newSince == Instant::min();
        plan.firstNewIndex = onlyThese ? before->slots : std::min(before->firstNewIndex, before->slots);
    }

} // namespace

bool QuotaPlan::createsLike(const QuotaPlan& other) const
{
    return slotRate == other.slotRate && slotCapacity == other.slotCapacity && validity == other.validity;
}

std::optional<uint32_t> QuotaPlan::indexOf(uint32_t slot, uint32_t ring) const
{
    if (slot >= ring)
        return slot == firstSlot ? std::optional<uint32_t>(0) : std::nullopt;
    const uint32_t index = (slot + ring - firstSlot % ring) % ring;
    return firstSlot < ring && index < slots ? std::optional(index) : std::nullopt;
}

const QuotaStrategy& quotaStrategy(std::string_view name)
{
    for (const auto* strategy : strategies) {
        if (strategy->name() == name)
            return *strategy;
    }
    return conserved;
}

std::span<const std::string_view> quotaStrategyNames() { return strategyNames; }

const QuotaPlan* QuotaPlans::find(std::string_view account) const
{
    const auto found = byAccount.find(AccountName(account));
    return found == byAccount.end() ? nullptr : &found->second;
}

std::shared_ptr<const QuotaPlans> drawUpPlans(const Declarations& declarations, const QuotaSettings& settings,
    const QuotaPlans* before, uint64_t generation, Instant now)
{
    auto plans = std::make_shared<QuotaPlans>();
    plans->generation = generation;
    plans->strategy = &quotaStrategy(declarations.policy.quota);
    for (const auto& account : declarations.accounts) {
        if (account.rate <= 0)
            continue;
        auto plan = plans->strategy->plan(account, settings);
        if (before)
            dateNewSlots(plan, before->find(account.name), now);
        plans->byAccount.emplace(account.name, plan);
    }
    for (const auto& [name, plan] : plans->byAccount)
        plans->byHash.emplace(plan.accountHash, &plan);
    return plans;
}

std::optional<std::string> problemOf(const QuotaSettings& settings)
{
    if (!settings.slots || !settings.minimumSlotsPerAccount || !settings.splitNodes)
        return "slots, slots per account and nodes of a split must be at least 1";
    if (settings.renewalFraction <= 0 || settings.renewalFraction > 0.5)
        return "the renewal fraction must be above 0 and at most 0.5, so that one failed renewal loses no lease";
    if (settings.validityShare <= 0 || settings.validityShare >= 1)
        return "the part of a burst that may be away from its slots must lie between 0 and 1";
    if (settings.clockDrift < 0 || settings.clockDrift > 0.01)
        return "the clock drift must lie between 0 and 0.01";
    if (settings.tokenValidity < settings.minimumValidity)
        return "the token validity must not be below its minimum";
    // A holder's clock may be slow and a taker's fast, each by the drift; the margin covers both.
    const double drift = 2 * settings.clockDrift * inSeconds(std::max(settings.leaseTerm, settings.ownerLeaseTerm));
    if (inSeconds(settings.safetyMargin) <= drift)
        return fmt::format("the safety margin must be above {:.3f} s, twice the drift over a lease term", drift);
    if (settings.safetyMargin >= std::min(settings.leaseTerm, settings.ownerLeaseTerm) / 2)
        return "the safety margin must be below half of each lease term";
    return std::nullopt;
}

std::optional<std::string> problemOf(const ClientAccount& account, const QuotaSettings& settings)
{
    if (account.rate <= 0 || !std::isfinite(account.rate) || !std::isfinite(account.burst))
        return "rate must be above 0, and rate and burst finite";
    const double shortest = inSeconds(settings.minimumValidity) * account.rate;
    const double least = std::max(wholeToken + shortest, shortest / settings.validityShare);
    if (account.burst >= least)
        return std::nullopt;
    return fmt::format("burst must be at least {:.2f} for a rate of {:g} a second, so that tokens last {} ms", least,
        account.rate, inMilliseconds(settings.minimumValidity));
}

} // namespace Vanillaridge

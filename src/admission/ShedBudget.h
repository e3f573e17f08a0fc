/// How many requests per second a backend server can take, and which ones follow from it.
#pragma once

#include "admission/Admission.h"

#include <unordered_map>

namespace Vanillaridge {

/// Divides a budget of requests per second among ranks, the most important first, and inside the rank where it ends
/// among client accounts, as the policy says. Which requests of an account survive follows from their stable hash.
/// Not safe for several threads; its gate's lock protects it.
class ShedBudget {
public:
    explicit ShedBudget(OverloadPolicy policy) { choose(policy); }
    void choose(OverloadPolicy);

    /// Notes an offered request, shed or not; `represents` is how many it stands for.
    void noteOffer(Rank, std::string_view account, double represents);
    /// What the gate saw since the last update.
    struct Observation {
        /// Time since the last update.
        Duration elapsed { 0 };
        /// Attempts that left their slot.
        uint32_t ends { 0 };
        /// Whether requests had to wait for a slot.
        bool saturated { false };
        /// Whether any were refused because the queue was full or too slow.
        bool overflowed { false };
        size_t waiting { 0 };
        /// Longest queue that its limit on waiting allows, in requests.
        double queueCapacity { 0 };
        /// Smoothed time at the backend server.
        Duration serviceTime { 0 };
    };
    void update(const Observation&);

    /// Shed level of an account: see LoadFeedback::shedLevel.
    double level(std::string_view account) const;
    /// Shed level over all accounts.
    double level() const;
    /// Place of a request in the queue, inside its rank: lower ones first.
    double order(Rank, std::string_view account, uint64_t treeHash) const;

private:
    using ByRank = std::array<double, rankCount>;
    struct Account {
        // Offered since the last update, and the smoothed rate per second.
        ByRank fresh {};
        ByRank rate {};
    };
    using Accounts = std::unordered_map<AccountName, Account, NameHash, std::equal_to<>>;
    using Divide = double (ShedBudget::*)(double budget) const;
    using Survive = double (ShedBudget::*)(const Account&) const;
    using Order = double (ShedBudget::*)(double rate, double survival) const;
    // What an overload policy decides.
    struct PolicyRow {
        Divide divide;
        Survive survive;
        Order order;
        double recovery;
    };
    static const std::array<PolicyRow, 2> policies;

    void smoothDemand(double elapsed);
    void smoothCapacity(const Observation&, double elapsed);
    void placeBorder();
    double rateOf(const Account&, size_t rank) const;
    double fairWaterLevel(double budget) const;
    double evenShare(double budget) const;
    double fairSurvival(const Account&) const;
    double evenSurvival(const Account&) const;
    double fairOrder(double rate, double survival) const;
    double hashOrder(double rate, double survival) const;

    const PolicyRow* m_policy { nullptr };
    Accounts m_accounts;
    ByRank m_demand {};
    ByRank m_slowDemand {};
    double m_served { 0 };
    double m_budget { 0 };
    bool m_shedding { false };
    uint32_t m_overflowingUpdates { 0 };
    // The rank where the budget ends, and what the policy made of the rest of it.
    size_t m_border { rankCount };
    double m_share { 0 };
    double m_borderSurvival { 1 };
    uint32_t m_updates { 0 };
};

} // namespace Vanillaridge

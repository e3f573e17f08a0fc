/// Load shedding budget: the request rate that a backend server can take, and which requests fit into it.
#pragma once

#include "admission/Admission.h"

#include <unordered_map>

namespace Vanillaridge {

/// Divides a budget of requests per second among ranks, the most important first. The overload policy divides the rank
/// in which the budget runs out among client accounts. A stable hash selects which requests of an account are admitted.
/// Not thread-safe; protected by the gate's lock.
class ShedBudget {
public:
    explicit ShedBudget(OverloadPolicy policy) { setPolicy(policy); }
    void setPolicy(OverloadPolicy);

    /// Counts an offered request, shed or not; `represents` is the number of requests that it stands for.
    void recordOffered(Rank, std::string_view account, double represents);
    /// Observations of the gate since the last update.
    struct Observation {
        /// Time since the last update.
        Duration elapsed { 0 };
        /// Attempts that freed their slot, except those that the backend server rejected for overload.
        uint32_t completions { 0 };
        /// Whether requests were held back for lack of a slot.
        bool saturated { false };
        /// Whether the queue was full or a request timed out in it.
        bool overflowed { false };
        size_t waiting { 0 };
        /// Queue length that the wait timeout allows, in requests.
        double queueCapacity { 0 };
        /// Average (EWMA) service time of the backend server.
        Duration serviceTime { 0 };
    };
    void update(const Observation&);

    /// Shed level of an account; see LoadFeedback::shedLevel.
    double level(std::string_view account) const;
    /// Shed level over all accounts.
    double level() const;
    /// Sort key of a request in the queue within its rank, lowest first.
    double sortKey(Rank, std::string_view account, uint64_t treeHash) const;

private:
    using ByRank = std::array<double, rankCount>;
    struct Account {
        // Requests offered since the last update, and their EWMA rate per second.
        ByRank offered {};
        ByRank rate {};
    };
    using Accounts = std::unordered_map<AccountName, Account, NameHash, std::equal_to<>>;
    using Divide = double (ShedBudget::*)(double budget) const;
    using AdmittedShare = double (ShedBudget::*)(const Account&) const;
    using SortKey = double (ShedBudget::*)(double rate, double hashUnit) const;
    // Decisions that depend on the overload policy.
    struct PolicyRow {
        Divide divide;
        AdmittedShare admittedShare;
        SortKey sortKey;
        double recovery;
    };
    static const std::array<PolicyRow, 2> policies;

    void updateDemand(double elapsed);
    void updateBudget(const Observation&, double elapsed);
    void updateCutoff();
    double rateOf(const Account&, size_t rank) const;
    double maxMinFairRate(double budget) const;
    double uniformShare(double budget) const;
    double fairAdmittedShare(const Account&) const;
    double uniformAdmittedShare(const Account&) const;
    double fairSortKey(double rate, double hashUnit) const;
    double hashSortKey(double rate, double hashUnit) const;

    const PolicyRow* m_policy { nullptr };
    Accounts m_accounts;
    ByRank m_demand {};
    ByRank m_slowDemand {};
    double m_servedRate { 0 };
    double m_budget { 0 };
    bool m_shedding { false };
    uint32_t m_overflowingUpdates { 0 };
    // The rank in which the budget runs out, and how the policy divides the remaining budget there.
    size_t m_cutoffRank { rankCount };
    double m_cutoffShare { 0 };
    double m_cutoffAdmittedShare { 1 };
    uint32_t m_updates { 0 };
};

} // namespace Vanillaridge

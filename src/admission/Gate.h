/// Admission gate of one backend server: its tickets, queue, concurrency limit and shed budgets under one lock.
#pragma once

#include "admission/ConcurrencyLimit.h"
#include "admission/ServiceTimes.h"
#include "admission/ShedBudget.h"

#include <set>

namespace Vanillaridge {

/// Settings of a gate's backend server, read from the board.
struct GateSettings {
    uint32_t slots { 1 };
    uint64_t generation { 0 };
    Duration slowStart { 0 };
    Duration queueLimit { 0 };
    OverloadPolicy policy { OverloadPolicy::FairnessFirst };
};

/// Whether a downstream service that the request will call is shedding load.
enum class DownstreamCapacity : uint8_t { Sufficient, Short };

class Gate {
public:
    Gate(Clock&, RandomSource&, AdmissionStrategy);

    /// Whether the settings are due to be read from the board again.
    bool hasStaleSettings() const;
    void configure(const GateSettings&);

    AdmissionDecision offer(const RequestContext&, Instant deadline, DownstreamCapacity);
    /// Frees the slot of an admitted attempt.
    /// \return the attempt's route; nothing if the attempt held no slot
    std::optional<RouteName> finished(const AttemptId&, CompletionStatus);
    void abandon(const AttemptId&);
    /// Starts or refuses waiting attempts. The lag is that of this node's event loop, where requests queue as well.
    void processQueue(std::string_view service, Duration lag, std::vector<AdmissionChange>&);

    /// Load of the backend server; the shed level is the account's, or that over all accounts if none is given.
    LoadFeedback feedback(std::optional<std::string_view> account) const;
    LimitReport limitReport() const;

private:
    // Position in the queue, highest priority first.
    struct QueuePosition {
        Rank rank;
        // Calls of running requests precede new work of their rank; otherwise the work already done is wasted.
        bool isNewWork { true };
        double sortKey { 0 };
        uint64_t sequence { 0 };
        auto operator<=>(const QueuePosition&) const = default; // NOLINT(modernize-use-nullptr)
    };
    struct Ticket {
        RouteName route;
        QueuePosition position;
        Instant deadline;
        // Time that must remain before the deadline at the start; 0 if unknown or while capacity is not short.
        Duration expected { 0 };
        Instant since;
        bool waiting { false };
        // A call with an unknown parent does not time out in the queue: sibling calls may have been served.
        bool parentKnown { true };
        bool missesDeadline(Instant now) const { return now + expected >= deadline; }
    };
    using Queue = std::map<QueuePosition, AttemptId>;
    // Decisions that depend on the strategy. Rows in the order of AdmissionStrategy.
    struct StrategyRow {
        uint32_t (Gate::*limit)(Instant) const;
        bool (Gate::*isShed)(const RequestContext&) const;
        QueuePosition (Gate::*position)(const RequestContext&);
        bool (Gate::*isDropped)(const Ticket&, Instant);
        double queueCapacityFactor;
    };
    static const std::array<StrategyRow, 5> strategies;

    uint32_t adaptiveLimit(Instant) const;
    uint32_t noLimit(Instant) const;
    uint32_t declaredLimit(Instant) const;
    bool isShedByLevel(const RequestContext&) const;
    bool isNeverShed(const RequestContext&) const;
    QueuePosition positionByPriority(const RequestContext&);
    QueuePosition positionByArrival(const RequestContext&);
    bool isDroppedUnlessCritical(const Ticket&, Instant);
    bool isDroppedAtWaitTimeout(const Ticket&, Instant);
    bool isDroppedByDelay(const Ticket&, Instant);
    bool isNeverDropped(const Ticket&, Instant);

    AdmissionDecision enqueueOrRefuse(const RequestContext&, Ticket);
    void update(Instant, Duration lag);
    void updateLagBudget(Instant, Duration lag);
    void start(Ticket&, Instant);
    void evictLast(Reason);
    void refuse(Queue::iterator, Reason);
    void refuseExpired(Instant);
    void startQueued(Instant);
    AdmissionDecision refusal(Reason, Duration expected = Duration(0));
    void recordServiceTime(double serviceTime);
    Duration expectedService() const;
    double queueCapacity() const;
    Duration waitTimeout() const;

    Clock& m_clock;
    RandomSource& m_random;
    const StrategyRow& m_strategy;
    mutable std::mutex m_lock;
    GateSettings m_settings;
    Instant m_configuredAt;
    bool m_configured { false };
    Instant m_coldStartAt;
    ConcurrencyLimit m_limit;
    // Budgets for the capacity of the backend server and for the processor time of its local node.
    ShedBudget m_budget { OverloadPolicy::FairnessFirst };
    ShedBudget m_lagBudget { OverloadPolicy::FairnessFirst };
    std::unordered_map<AttemptId, Ticket> m_tickets;
    Queue m_queue;
    std::vector<AdmissionChange> m_changes;
    uint32_t m_running { 0 };
    uint64_t m_sequence { 0 };
    ServiceTimes m_serviceTimes;
    // Averages (EWMA) over all routes.
    double m_serviceTime { 0 }; // seconds
    double m_queueTime { 0 }; // seconds
    // Since the last update.
    Instant m_updatedAt;
    Instant m_scannedAt;
    Instant m_expiredAt;
    uint32_t m_completions { 0 };
    uint32_t m_served { 0 };
    bool m_saturated { false };
    bool m_overflowed { false };
    // State of isDroppedByDelay().
    Instant m_aboveTargetSince;
    Instant m_nextDrop;
    uint32_t m_drops { 0 };
};

} // namespace Vanillaridge

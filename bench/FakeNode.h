/// One node of the fake fleet, and the settings of a run.
#pragma once

#include "EventQueue.h"

#include "admission/Admission.h"
#include "placement/Placement.h"
#include "retry/Retry.h"

#include <deque>
#include <map>

namespace Vanillaridge {

/// One service of the chain.
struct Tier {
    uint32_t servers { 4 };
    uint32_t slots { 100 };
    /// Mean own work of a request at this tier.
    Duration work { milliseconds(10) };
};

/// Strategies and settings of one run.
struct FleetSettings {
    std::vector<Tier> tiers;
    uint32_t zones { 4 };
    Duration zoneDelay { microseconds(500) };
    OverloadPolicy policy { OverloadPolicy::FairnessFirst };
    AdmissionStrategy admission { AdmissionStrategy::Adaptive };
    PlacementStrategy placement { PlacementStrategy::TwoChoices };
    EdgeShedding edge { EdgeShedding::On };
    RetryStrategy retry { RetryStrategy::Budget };
    uint64_t seed { 1 };
};

/// What happens to an attempt that waits at a guard.
struct WaitingAttempt {
    std::function<void()> start;
    std::function<void(Reason)> refuse;
};
/// A node with the real controllers, and the backend server beside it.
struct FakeNode {
    FakeNode(Identity identity, EventQueue& events, const FleetSettings& settings, uint64_t seed)
        : random(makeSeededRandom(seed))
        , board(std::move(identity))
        , admission(board, events.clock(), *random, settings.admission)
        , placement(board, events.clock(), *random, settings.placement, settings.edge)
        , retry(board, events.clock(), *random, settings.retry)
    {
    }

    std::unique_ptr<RandomSource> random;
    Board board;
    Admission admission;
    Placement placement;
    Retry retry;
    uint32_t tier { 0 };
    uint32_t index { 0 };
    uint32_t zone { 0 };
    uint64_t generation { 1 };
    double slowness { 1 };
    bool lies { false };
    bool silent { false };
    std::map<AttemptId, WaitingAttempt> waiting;
    // The backend server: its slots, and those that it queues itself.
    uint32_t working { 0 };
    std::deque<std::function<void()>> queued;
};

} // namespace Vanillaridge

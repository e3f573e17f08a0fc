// Admission control without a network, for tests of its decisions.
#pragma once

#include "admission/Admission.h"

namespace Vanillaridge {

/// Time from the offer of a request to its deadline.
constexpr Duration requestTimeout = seconds(5);

/// The admission control of a node with one local backend server, on a manual clock. The test offers the requests and
/// completes them.
struct Guard {
    explicit Guard(uint32_t slots = 4, AdmissionStrategy strategy = AdmissionStrategy::Adaptive,
        OverloadPolicy policy = OverloadPolicy::FairnessFirst)
        : random(makeSeededRandom(7))
        , board({ "127.0.0.1:7000", "zone-a", { 1 }, { 1 } })
        , admission(board, clock, *random, strategy)
    {
        Declarations declarations;
        declarations.services.push_back({ .name = "history", .slots = slots, .slowStart = Duration(0) });
        declarations.policy.overload = policy;
        board.configuration().adopt(std::make_shared<const Configuration>(1, std::move(declarations)));
        announce(slots);
    }

    void announce(uint32_t slots, bool draining = false)
    {
        board.localServers().update("history", [&](LocalServerRecord& server) {
            server.announcement = { "history", 1, slots, draining };
        });
    }

    RequestContext request(Importance importance, std::string_view account = "owner")
    {
        RequestContext context;
        context.attempt.request.sequence = ++sequence;
        context.service = "history";
        context.route = "look-up";
        context.account = account;
        context.rank = Rank::of(importance);
        context.treeHash = mixHash(sequence, 1);
        return context;
    }

    /// Offers a request with the default timeout and records it as running if it is admitted.
    AdmissionVerdict offer(const RequestContext& context)
    {
        const auto decision = admission.offer(context, clock.now() + requestTimeout);
        if (decision.verdict == AdmissionVerdict::Admitted)
            running.push_back(context.attempt);
        return decision.verdict;
    }

    /// Decides on waiting requests and records the admitted ones as running.
    std::vector<AdmissionChange> settle()
    {
        auto changes = admission.processQueues();
        for (const auto& change : changes) {
            if (change.decision.verdict == AdmissionVerdict::Admitted)
                running.push_back(change.attempt);
        }
        return changes;
    }

    /// Completes the request that has been running longest, if any.
    void finishOne()
    {
        if (running.empty())
            return;
        admission.finished("history", running.front(), CompletionStatus::Served);
        running.erase(running.begin());
    }

    ManualClock clock;
    std::unique_ptr<RandomSource> random;
    Board board;
    Admission admission;
    std::vector<AttemptId> running;
    uint64_t sequence { 0 };
};

} // namespace Vanillaridge

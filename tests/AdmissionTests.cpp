// libraries: admission
#include "AdmissionGuard.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>

using namespace Vanillaridge;

namespace {

// A random action of the test, and the time that passes before it.
struct Step {
    uint32_t action;
    Importance importance;
    uint32_t account;
    uint32_t milliseconds;
};

rc::Gen<std::vector<Step>> steps()
{
    return rc::gen::container<std::vector<Step>>(rc::gen::construct<Step>(rc::gen::inRange(0U, 10U),
        rc::gen::map(rc::gen::inRange(0, int(importanceCount)), [](int value) { return Importance(value); }),
        rc::gen::inRange(0U, 4U), rc::gen::inRange(0U, 30U)));
}

bool isShed(Reason reason)
{
    return reason == Reason::ShedAtGuard || reason == Reason::QueueFull || reason == Reason::QueueTimeout;
}

// Offers and completes requests and advances the clock as the steps say. Checks that no request is admitted or shed
// out of order of importance, and that each waiting request is decided exactly once.
class OfferSimulation {
public:
    explicit OfferSimulation(Guard& guard)
        : m_guard(guard)
    {
    }

    void run(const std::vector<Step>& steps)
    {
        for (const auto& step : steps) {
            m_guard.clock.advance(milliseconds(step.milliseconds));
            if (step.action < 2)
                m_guard.finishOne();
            if (step.action < 3)
                settle();
            else
                offer(m_guard.request(step.importance, "account-" + std::to_string(step.account)));
        }
        for (int i = 0; i < 4000 && !m_waiting.empty(); ++i) {
            m_guard.clock.advance(milliseconds(5));
            m_guard.finishOne();
            settle();
        }
        RC_ASSERT(m_waiting.empty());
    }

private:
    void offer(const RequestContext& context)
    {
        const auto decision = m_guard.admission.offer(context, m_guard.clock.now() + requestTimeout);
        if (decision.verdict == AdmissionVerdict::Admitted) {
            m_guard.running.push_back(context.attempt);
            for (const auto& [attempt, importance] : m_waiting)
                RC_ASSERT(importance >= context.rank.account);
        } else if (decision.verdict == AdmissionVerdict::Waiting) {
            m_waiting[context.attempt] = context.rank.account;
        }
        settle();
        checkNoneLessImportantWaits(context.rank.account, decision);
    }

    void settle()
    {
        const auto changes = m_guard.settle();
        std::vector<std::pair<Importance, AdmissionDecision>> decided;
        for (const auto& change : changes) {
            const auto found = m_waiting.find(change.attempt);
            RC_ASSERT(found != m_waiting.end());
            decided.emplace_back(found->second, change.decision);
            m_waiting.erase(found);
        }
        for (const auto& [importance, decision] : decided)
            checkNoneLessImportantWaits(importance, decision);
    }

    // No less important request may wait when a request has just been shed.
    void checkNoneLessImportantWaits(Importance importance, const AdmissionDecision& decision) const
    {
        if (decision.verdict != AdmissionVerdict::Refused || !isShed(decision.reason))
            return;
        for (const auto& [attempt, other] : m_waiting)
            RC_ASSERT(other <= importance);
    }

    Guard& m_guard;
    std::map<AttemptId, Importance> m_waiting;
};

// Sends each account's requests at a constant rate and returns the admitted requests per second of each account, after
// a warm-up in which the shed level converges. The run is long enough for the spread of the stable hash to average out.
std::vector<double> servedRates(Guard& guard, std::span<const double> rates, Duration serviceTime)
{
    constexpr int stepCount = 17000;
    constexpr int warmUpSteps = 2000;
    constexpr Duration step = milliseconds(1);
    std::vector<double> due(rates.size());
    std::vector<double> served(rates.size());
    std::map<AttemptId, size_t> accountOf;
    std::map<Instant, std::vector<AttemptId>> completions;
    for (int i = 0; i < stepCount; ++i) {
        guard.clock.advance(step);
        while (!completions.empty() && completions.begin()->first <= guard.clock.now()) {
            for (const auto& attempt : completions.begin()->second)
                guard.admission.finished("history", attempt, CompletionStatus::Served);
            completions.erase(completions.begin());
        }
        for (size_t account = 0; account < rates.size(); ++account) {
            for (due[account] += rates[account] / 1000; due[account] >= 1; due[account] -= 1) {
                const auto context = guard.request(Importance::Normal, "account-" + std::to_string(account));
                accountOf[context.attempt] = account;
                guard.offer(context);
            }
        }
        guard.settle();
        for (const auto& attempt : std::exchange(guard.running, {})) {
            completions[guard.clock.now() + serviceTime].push_back(attempt);
            served[accountOf[attempt]] += i >= warmUpSteps;
        }
    }
    for (auto& rate : served)
        rate *= 1000.0 / (stepCount - warmUpSteps);
    return served;
}

// The max-min fair share of the capacity for each of these rates.
std::vector<double> maxMinFairRates(std::span<const double> rates, double capacity)
{
    std::vector<double> sorted(rates.begin(), rates.end());
    std::sort(sorted.begin(), sorted.end());
    double level = sorted.back();
    for (size_t i = 0; i < sorted.size(); ++i) {
        const double evenShare = capacity / double(sorted.size() - i);
        if (sorted[i] > evenShare) {
            level = evenShare;
            break;
        }
        capacity -= sorted[i];
    }
    std::vector<double> fair;
    for (const double rate : rates)
        fair.push_back(std::min(rate, level));
    return fair;
}

} // namespace

BOOST_AUTO_TEST_SUITE(GivenCallsWhoseParentRequestsAreNotKnown)

// Queues both requests behind a running one and returns which of them starts first.
AttemptId startedFirst(Guard& guard, const RequestContext& one, const RequestContext& other)
{
    guard.offer(guard.request(Importance::Normal));
    BOOST_TEST((guard.offer(one) == AdmissionVerdict::Waiting));
    BOOST_TEST((guard.offer(other) == AdmissionVerdict::Waiting));
    guard.finishOne();
    const auto changes = guard.settle();
    BOOST_REQUIRE(changes.size() == 1u);
    BOOST_TEST((changes[0].decision.verdict == AdmissionVerdict::Admitted));
    return changes[0].attempt;
}

BOOST_AUTO_TEST_CASE(ThenTheyGoBeforeNewWorkOfTheirLikelyRank)
{
    Guard guard(1);
    auto call = guard.request(Importance::High, "");
    call.parentKnown = false;
    call.depth = 2;
    BOOST_TEST((startedFirst(guard, guard.request(Importance::High), call) == call.attempt));
}

BOOST_AUTO_TEST_CASE(ThenMoreImportantNewWorkGoesBeforeThem)
{
    Guard guard(1);
    auto call = guard.request(Importance::Low, "");
    call.parentKnown = false;
    call.depth = 2;
    const auto important = guard.request(Importance::Critical);
    BOOST_TEST((startedFirst(guard, call, important) == important.attempt));
}

BOOST_AUTO_TEST_CASE(ThenNewWorkIsShedForThemAndTheyAreNot)
{
    // Calls and new requests arrive at twice the rate that the backend server can serve, for two seconds.
    Guard guard(4);
    size_t callsRefused = 0;
    size_t newRefused = 0;
    for (int i = 0; i < 2000; ++i) {
        guard.clock.advance(milliseconds(1));
        auto call = guard.request(Importance::Normal, "");
        call.parentKnown = false;
        if (i % 4 == 0)
            callsRefused += guard.offer(call) == AdmissionVerdict::Refused;
        if (i % 2 == 0)
            newRefused += guard.offer(guard.request(Importance::Low)) == AdmissionVerdict::Refused;
        if (i % 3 == 0)
            guard.finishOne();
        guard.settle();
    }
    BOOST_TEST(callsRefused == 0u);
    BOOST_TEST(newRefused > 300u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenAGuard)

BOOST_AUTO_TEST_SUITE(WhenASlotIsFree)

BOOST_AUTO_TEST_CASE(ThenARequestStartsAtOnce)
{
    Guard guard(2);
    BOOST_TEST((guard.offer(guard.request(Importance::Low)) == AdmissionVerdict::Admitted));
    BOOST_TEST((guard.offer(guard.request(Importance::Low)) == AdmissionVerdict::Admitted));
    BOOST_TEST((guard.offer(guard.request(Importance::Low)) == AdmissionVerdict::Waiting));
}

BOOST_AUTO_TEST_CASE(ThenTheSameAttemptIsRefusedASecondTime)
{
    Guard guard;
    const auto context = guard.request(Importance::Normal);
    guard.offer(context);
    BOOST_TEST((guard.admission.offer(context, guard.clock.now() + requestTimeout).reason == Reason::Duplicate));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheBackendServerIsDraining)

BOOST_AUTO_TEST_CASE(ThenNothingNewIsAdmitted)
{
    Guard guard;
    guard.announce(4, true);
    const auto decision
        = guard.admission.offer(guard.request(Importance::Critical), guard.clock.now() + requestTimeout);
    BOOST_TEST((decision.reason == Reason::Draining));
    guard.board.localServers().erase("history");
    const auto later = guard.admission.offer(guard.request(Importance::Critical), guard.clock.now() + requestTimeout);
    BOOST_TEST((later.reason == Reason::NoServer));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenRequestsWait)

BOOST_AUTO_TEST_CASE(ThenTheMostImportantStartsFirst)
{
    Guard guard(1);
    guard.offer(guard.request(Importance::Normal));
    guard.offer(guard.request(Importance::Low));
    const auto important = guard.request(Importance::Critical);
    guard.offer(important);
    guard.finishOne();
    const auto changes = guard.settle();
    BOOST_REQUIRE(changes.size() == 1u);
    BOOST_TEST((changes[0].attempt == important.attempt));
    BOOST_TEST((changes[0].decision.verdict == AdmissionVerdict::Admitted));
}

BOOST_AUTO_TEST_CASE(ThenOneThatCanNoLongerFinishIsDropped)
{
    Guard guard(1);
    guard.offer(guard.request(Importance::Normal));
    const auto urgent = guard.request(Importance::Critical);
    guard.admission.offer(urgent, guard.clock.now() + milliseconds(20));
    guard.clock.advance(milliseconds(30));
    const auto changes = guard.settle();
    BOOST_REQUIRE(changes.size() == 1u);
    BOOST_TEST((changes[0].decision.reason == Reason::DeadlineExceeded));
}

BOOST_AUTO_TEST_CASE(ThenAnAbandonedOneIsNotReported)
{
    Guard guard(1);
    guard.offer(guard.request(Importance::Normal));
    const auto leaving = guard.request(Importance::Normal);
    guard.offer(leaving);
    guard.admission.abandon("history", leaving.attempt);
    guard.finishOne();
    BOOST_TEST(guard.settle().empty());
    BOOST_TEST(guard.admission.feedback("history").waiting == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenOffersComeInAnyOrder)

BOOST_AUTO_TEST_CASE(ThenImportanceGoesFirstAndEachOfferIsDecidedOnce)
{
    BOOST_TEST(rc::check("importance order and no lost tickets", [] {
        Guard guard(*rc::gen::inRange(1U, 4U));
        OfferSimulation(guard).run(*rc::gen::resize(400, steps()));
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAccountsSendMoreThanFits)

BOOST_AUTO_TEST_CASE(ThenEachGetsItsMaxMinShare)
{
    BOOST_TEST(rc::check("max-min fairness inside a class", [] {
        constexpr double capacity = 500;
        std::vector<double> rates { 100, 400 };
        for (uint32_t i = *rc::gen::inRange(1U, 4U); i > 0; --i)
            rates.push_back(*rc::gen::inRange(100, 600));
        Guard guard(10);
        const auto served = servedRates(guard, rates, milliseconds(20));
        const auto fair = maxMinFairRates(rates, capacity);
        for (size_t i = 0; i < rates.size(); ++i)
            RC_ASSERT(served[i] >= 0.9 * fair[i]);
    }));
}

BOOST_AUTO_TEST_CASE(ThenTheServerStaysBusy)
{
    Guard guard(10);
    const auto served = servedRates(guard, std::vector<double> { 600, 400 }, milliseconds(20));
    BOOST_TEST(served[0] + served[1] >= 0.97 * 500);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenADownstreamServiceIsOverloaded)

// A guard whose requests call a downstream service that sheds everything below high importance and half of high
// importance.
struct UpstreamGuard : Guard {
    UpstreamGuard()
        : Guard(1000)
    {
        board.routeCalls().update("look-up", [](RouteCallsRecord& record) {
            record.requests = 100;
            record.calls["registry"] = 100;
        });
        publishShedLevel(rankCount - 0.5 - double(indexOf(Rank::of(Importance::High))));
    }

    void publishShedLevel(double level)
    {
        board.shedRecords().update({ "registry", "" }, [&](ShedRecord& record) {
            record = { level, clock.now(), 0, 0 };
        });
    }

    int admittedCount(int requests, Importance importance)
    {
        int admitted = 0;
        for (int i = 0; i < requests; ++i)
            admitted += offer(request(importance)) == AdmissionVerdict::Admitted;
        return admitted;
    }
};

BOOST_AUTO_TEST_CASE(ThenNoWorkIsStartedThatWouldFailThere)
{
    UpstreamGuard guard;
    BOOST_TEST(guard.admittedCount(100, Importance::Critical) == 100);
    BOOST_TEST(std::abs(guard.admittedCount(200, Importance::High) - 100) < 25);
    BOOST_TEST(guard.admittedCount(200, Importance::Normal) < 10);
    BOOST_TEST(guard.admittedCount(200, Importance::Low) < 10);
}

BOOST_AUTO_TEST_CASE(ThenCallsOfRunningRequestsAreStillAdmitted)
{
    UpstreamGuard guard;
    auto call = guard.request(Importance::Normal);
    call.parentKnown = false;
    BOOST_TEST((guard.offer(call) == AdmissionVerdict::Admitted));
}

BOOST_AUTO_TEST_CASE(ThenAdmittedRequestsRepresentTheShedOnes)
{
    UpstreamGuard guard;
    double represented = 0;
    for (int i = 0; i < 200; ++i) {
        const auto context = guard.request(Importance::High);
        guard.board.attempts().update(context.attempt, [&](AttemptRecord& record) { record.context = context; });
        if (guard.offer(context) == AdmissionVerdict::Admitted)
            guard.board.attempts().visit(
                context.attempt, [&](const AttemptRecord& record) { represented += record.context.represents; });
    }
    BOOST_TEST(std::abs(represented - 200) < 50);
}

BOOST_AUTO_TEST_CASE(ThenWorkIsAdmittedAgainOnceTheShedRecordIsOutdated)
{
    UpstreamGuard guard;
    guard.clock.advance(seconds(2));
    BOOST_TEST(guard.admittedCount(100, Importance::Normal) == 100);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheBackendServerShedsItself)

BOOST_AUTO_TEST_CASE(ThenItsLimitFallsAndRecovers)
{
    Guard guard(100);
    for (int i = 0; i < 60; ++i)
        guard.offer(guard.request(Importance::Normal));
    for (const auto& attempt : std::exchange(guard.running, {}))
        guard.admission.finished("history", attempt, CompletionStatus::Overloaded);
    guard.clock.advance(seconds(1));
    guard.settle();
    BOOST_TEST(guard.admission.feedback("history").limit < 60u);
    for (int i = 0; i < 3000; ++i) {
        guard.clock.advance(milliseconds(10));
        while (guard.offer(guard.request(Importance::Normal)) == AdmissionVerdict::Admitted) { }
        for (const auto& attempt : std::exchange(guard.running, {}))
            guard.admission.finished("history", attempt, CompletionStatus::Served);
        guard.settle();
    }
    BOOST_TEST(guard.admission.feedback("history").limit == 100u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

// libraries: verdict
#include "TruthWorld.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Vanillaridge;

namespace {

constexpr int schedulesPerCase = 20;

// How often each action is drawn when nothing fails.
constexpr std::array ordinaryActions { std::pair(Action::Submit, 12), std::pair(Action::DeliverToGuard, 40),
    std::pair(Action::DeliverToEntry, 40), std::pair(Action::Start, 12), std::pair(Action::Answer, 10),
    std::pair(Action::FailBackend, 2), std::pair(Action::Refuse, 3), std::pair(Action::PassTime, 10),
    std::pair(Action::Leave, 2) };

// How often each failure is drawn beside them.
constexpr int failureWeight = 6;

// Every action as often as it is to be drawn.
std::vector<Action> ordinaryWith(std::initializer_list<Action> failures)
{
    std::vector<Action> actions;
    for (const auto& [action, weight] : ordinaryActions)
        actions.insert(actions.end(), static_cast<size_t>(weight), action);
    for (const auto failure : failures)
        actions.insert(actions.end(), failureWeight, failure);
    return actions;
}

// The first thing that a history proves false; empty when all promises were kept.
std::string brokenPromise(const TruthWorld& world)
{
    for (const auto& [request, caller] : world.callers()) {
        const int starts = world.starts(request);
        if (!caller.idempotent && starts > 1)
            return "a non-idempotent request started more than once";
        if (!caller.isTold && !caller.gone)
            return "a caller was told nothing";
        if (!caller.isTold)
            continue;
        if (row(caller.told).outcome == Outcome::NotRun && starts > 0)
            return "a caller was told not-run of a request that started";
        if (caller.told == Reason::None && caller.answer != toText(request))
            return "a caller was given an answer that is not its own, or not whole";
        if (caller.told == Reason::None && starts == 0)
            return "a caller was given an answer of a request that never started";
    }
    return {};
}

// Checks random schedules of these actions.
bool keepsPromises(const std::string& description, const std::vector<Action>& actions)
{
    const auto steps = rc::gen::container<std::vector<Step>>(
        rc::gen::build<Step>(rc::gen::set(&Step::action, rc::gen::elementOf(actions)),
            rc::gen::set(&Step::who, rc::gen::inRange<uint32_t>(0, 64)),
            rc::gen::set(&Step::detail, rc::gen::inRange<uint32_t>(0, 1024))));
    return rc::check(description, [&] {
        for (int i = 0; i < schedulesPerCase; ++i) {
            const auto schedule = *rc::gen::scale(4, steps);
            TruthWorld world;
            for (const auto& step : schedule)
                world.take(step);
            world.settle();
            const auto broken = brokenPromise(world);
            if (!broken.empty())
                RC_FAIL(broken);
        }
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(GivenAFleetThatServesRequests)

BOOST_AUTO_TEST_SUITE(WhenNothingFails)

BOOST_AUTO_TEST_CASE(ThenEveryCallerIsToldTheTruth)
{
    BOOST_TEST(keepsPromises("ordinary histories", ordinaryWith({})));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenConnectionsFail)

BOOST_AUTO_TEST_CASE(ThenEveryCallerIsToldTheTruth)
{
    BOOST_TEST(keepsPromises("cut and silent connections", ordinaryWith({ Action::Cut, Action::Silence })));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenMessagesAreRepeatedOrCrossed)

BOOST_AUTO_TEST_CASE(ThenEveryCallerIsToldTheTruth)
{
    BOOST_TEST(keepsPromises(
        "repeated and crossed messages", ordinaryWith({ Action::Repeat, Action::Cross, Action::PassLongTime })));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenNodesRestart)

BOOST_AUTO_TEST_CASE(ThenEveryCallerIsToldTheTruth)
{
    BOOST_TEST(keepsPromises("restarts", ordinaryWith({ Action::RestartEntry, Action::RestartGuard, Action::Cut })));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenNodesFreezeAndResume)

BOOST_AUTO_TEST_CASE(ThenEveryCallerIsToldTheTruth)
{
    BOOST_TEST(
        keepsPromises("freezes", ordinaryWith({ Action::Freeze, Action::PassLongTime, Action::Cut, Action::Silence })));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenEverythingFailsAtOnce)

BOOST_AUTO_TEST_CASE(ThenEveryCallerIsToldTheTruth)
{
    BOOST_TEST(keepsPromises("all failures",
        ordinaryWith({ Action::Cut, Action::Silence, Action::Repeat, Action::Cross, Action::RestartEntry,
            Action::RestartGuard, Action::Freeze, Action::PassLongTime })));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

// libraries: drain
#include "drain/Drain.h"

#include <boost/test/unit_test.hpp>

using namespace Vanillaridge;

namespace {

constexpr Duration limit = seconds(2);
constexpr Duration announcement = milliseconds(2500);
constexpr Duration checkInterval = milliseconds(20);

// A node that was asked to stop; tests add requests and attempts to its board.
struct StoppingNode {
    explicit StoppingNode(Duration grace = Duration(0))
        : drain(board, clock, { grace > Duration(0) ? grace : limit, grace })
    {
        drain.begin();
    }

    StopStep nextAfter(Duration time)
    {
        clock.advance(time);
        return drain.advance(open);
    }

    // Checks at a fixed interval until the step changes or the time has passed.
    StopStep waitForNextStep(Duration time)
    {
        const auto before = drain.advance(open);
        auto step = before;
        for (Duration passed(0); passed < time && step == before; passed += checkInterval)
            step = nextAfter(checkInterval);
        return step;
    }

    void addAttempt()
    {
        board.attempts().update(attempt, [](AttemptRecord&) {});
    }
    void removeAttempt() { board.attempts().erase(attempt); }
    void addEntry()
    {
        board.entries().update(attempt.request, [](EntryRecord&) {});
    }
    void removeEntry() { board.entries().erase(attempt.request); }

    const AttemptId attempt { { { 1 }, { 1 }, 1 }, 1 };
    ManualClock clock;
    Board board { { "127.0.0.1:7000", "zone-a", { 1 }, { 1 } } };
    Drain drain;
    OpenWork open;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GivenANodeThatIsAskedToStop, StoppingNode)

BOOST_AUTO_TEST_SUITE(WhenItHasJustBeenAsked)

BOOST_AUTO_TEST_CASE(ThenItAnnouncesTheDrainAndKeepsServing)
{
    BOOST_TEST(board.draining());
    BOOST_TEST(!board.refusesNewWork());
    BOOST_TEST((nextAfter(announcement - checkInterval) == StopStep::Announcing));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheAnnouncementTimeHasPassed)

BOOST_AUTO_TEST_CASE(ThenItRefusesNewWork)
{
    BOOST_TEST((nextAfter(announcement) == StopStep::Finishing));
    BOOST_TEST(board.refusesNewWork());
}

BOOST_AUTO_TEST_CASE(ThenItIsOpenForTheCallsOfAnAttemptThatRuns)
{
    addAttempt();
    BOOST_TEST((nextAfter(announcement) == StopStep::Finishing));
    BOOST_TEST((waitForNextStep(seconds(1)) == StopStep::Finishing));
    removeAttempt();
    BOOST_TEST((nextAfter(checkInterval) == StopStep::Closing));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against requests that a stop with a short grace cuts although their backend server would have answered them
// before the last sixth of it, and against a process that is killed before it has left.
BOOST_AUTO_TEST_SUITE(WhenARequestOutlastsAnyGrace)

BOOST_AUTO_TEST_CASE(ThenItIsAwaitedUpToTheLastSixthAndTheProcessEndsInTime)
{
    for (const Duration grace : { Duration(seconds(1)), Duration(seconds(2)), Duration(seconds(3)),
             Duration(seconds(5)), Duration(seconds(6)), Duration(seconds(10)), Duration(seconds(30)) }) {
        BOOST_TEST_CONTEXT("grace of " << inMilliseconds(grace) << " ms")
        {
            StoppingNode node(grace);
            node.addAttempt();
            node.addEntry();
            node.open.connections = 1;
            Duration passed(0);
            Duration awaited(0);
            for (auto step = StopStep::Announcing; step != StopStep::Ended && passed < 2 * grace;
                 passed += checkInterval) {
                step = node.nextAfter(checkInterval);
                if (step < StopStep::Leaving)
                    awaited = passed + checkInterval;
            }
            BOOST_TEST(inMilliseconds(awaited) + inMilliseconds(4 * checkInterval) >= inMilliseconds(grace * 5 / 6));
            BOOST_TEST(inMilliseconds(passed) <= inMilliseconds(grace));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenNoRequestIsKnownButAConnectionMayStillBringOne)

BOOST_AUTO_TEST_CASE(ThenItDoesNotLeave)
{
    open.connections = 1;
    nextAfter(announcement);
    BOOST_TEST((nextAfter(checkInterval) == StopStep::Closing));
    BOOST_TEST((waitForNextStep(seconds(1)) == StopStep::Closing));
    open.connections = 0;
    BOOST_TEST((nextAfter(checkInterval) == StopStep::Leaving));
    BOOST_TEST(!drain.limitReached());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenARequestRunsOnAfterItsConnectionHasEnded)

BOOST_AUTO_TEST_CASE(ThenItsEndIsAwaited)
{
    addEntry();
    nextAfter(announcement);
    BOOST_TEST((waitForNextStep(seconds(1)) == StopStep::Closing));
    BOOST_TEST((waitForNextStep(milliseconds(500)) == StopStep::Closing));
    removeEntry();
    BOOST_TEST((nextAfter(checkInterval) == StopStep::Leaving));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnswersWaitToBeWrittenToOtherNodes)

BOOST_AUTO_TEST_CASE(ThenTheProcessDoesNotEndBeforeTheyAre)
{
    nextAfter(announcement);
    nextAfter(checkInterval);
    BOOST_TEST((nextAfter(checkInterval) == StopStep::Leaving));
    open.unsent = 1;
    BOOST_TEST((waitForNextStep(seconds(1)) == StopStep::Leaving));
    open.unsent = 0;
    BOOST_TEST((nextAfter(checkInterval) == StopStep::Ended));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenARequestOutlastsTheLimit)

BOOST_AUTO_TEST_CASE(ThenTheStopCompletesAndReportsTheLimit)
{
    addAttempt();
    addEntry();
    open.connections = 1;
    open.unsent = 1;
    nextAfter(announcement);
    BOOST_TEST((nextAfter(limit - checkInterval) == StopStep::Finishing));
    BOOST_TEST((nextAfter(checkInterval) == StopStep::Closing));
    BOOST_TEST((nextAfter(checkInterval) == StopStep::Leaving));
    BOOST_TEST(drain.limitReached());
    BOOST_TEST((waitForNextStep(seconds(1)) == StopStep::Ended));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

namespace {

constexpr Duration grace = seconds(6);

struct NodeWithGrace : StoppingNode {
    NodeWithGrace()
        : StoppingNode(grace)
    {
    }

    // When a stop with a request that never ends cuts it off, and when the process ends, from the signal on.
    Duration timeUntil(StopStep step)
    {
        const auto start = clock.now();
        while (drain.advance(open) < step)
            clock.advance(checkInterval);
        return clock.now() - start;
    }
};

} // namespace

// Guards against a request that is cut off although the platform leaves time for it, and against a process that is
// killed before it has ended.
BOOST_FIXTURE_TEST_SUITE(GivenANodeThatIsKilledAtTheEndOfItsGrace, NodeWithGrace)

BOOST_AUTO_TEST_SUITE(WhenARequestOutlastsTheGrace)

BOOST_AUTO_TEST_CASE(ThenItIsAwaitedIntoTheLastSixthAndTheProcessEndsInTime)
{
    addAttempt();
    addEntry();
    open.connections = 1;
    BOOST_TEST((timeUntil(StopStep::Leaving) >= grace - grace / 6));
    BOOST_TEST((timeUntil(StopStep::Ended) < grace));
    BOOST_TEST(drain.limitReached());
}

BOOST_AUTO_TEST_CASE(ThenTheTimeLeftForOthersEndsBeforeIt)
{
    const auto atStart = board.timeBeforeStop(clock.now());
    BOOST_REQUIRE(atStart.has_value());
    BOOST_TEST((*atStart > limit && *atStart < grace));
    nextAfter(seconds(3));
    BOOST_TEST((*board.timeBeforeStop(clock.now()) == *atStart - seconds(3)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

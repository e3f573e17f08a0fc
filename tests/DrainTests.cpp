// libraries: drain
#include "drain/Drain.h"

#include <boost/test/unit_test.hpp>

using namespace Vanillaridge;

namespace {

constexpr Duration limit = seconds(2);
constexpr Duration announcement = milliseconds(2500);
constexpr Duration look = milliseconds(20);

// A node that was asked to stop; tests add requests and attempts to its board.
struct StoppingNode {
    StoppingNode() { drain.begin(); }

    StopStep nextAfter(Duration time)
    {
        clock.advance(time);
        return drain.next(open);
    }

    // Checks at a fixed interval until the step changes or the time has passed.
    StopStep lookFor(Duration time)
    {
        const auto before = drain.next(open);
        auto step = before;
        for (Duration passed(0); passed < time && step == before; passed += look)
            step = nextAfter(look);
        return step;
    }

    void addAttempt()
    {
        board.attempts().update(attempt, [](AttemptRecord&) {});
    }
    void endAttempt() { board.attempts().erase(attempt); }
    void addEntry()
    {
        board.entries().update(attempt.request, [](EntryRecord&) {});
    }
    void endEntry() { board.entries().erase(attempt.request); }

    const AttemptId attempt { { { 1 }, { 1 }, 1 }, 1 };
    ManualClock clock;
    Board board { { "127.0.0.1:7000", "zone-a", { 1 }, { 1 } } };
    Drain drain { board, clock, limit };
    OpenWork open;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GivenANodeThatIsAskedToStop, StoppingNode)

BOOST_AUTO_TEST_SUITE(WhenItHasJustBeenAsked)

BOOST_AUTO_TEST_CASE(ThenItSaysSoAndGoesOnServing)
{
    BOOST_TEST(board.draining());
    BOOST_TEST(!board.refusesNewWork());
    BOOST_TEST((nextAfter(announcement - look) == StopStep::Announcing));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheOthersHaveHeardOfIt)

BOOST_AUTO_TEST_CASE(ThenItRefusesNewWork)
{
    BOOST_TEST((nextAfter(announcement) == StopStep::Finishing));
    BOOST_TEST(board.refusesNewWork());
}

BOOST_AUTO_TEST_CASE(ThenItIsOpenForTheCallsOfAnAttemptThatRuns)
{
    addAttempt();
    BOOST_TEST((nextAfter(announcement) == StopStep::Finishing));
    BOOST_TEST((lookFor(seconds(1)) == StopStep::Finishing));
    endAttempt();
    BOOST_TEST((nextAfter(look) == StopStep::Closing));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenNoRequestIsKnownButAConnectionMayStillBringOne)

BOOST_AUTO_TEST_CASE(ThenItDoesNotLeave)
{
    open.connections = 1;
    nextAfter(announcement);
    BOOST_TEST((nextAfter(look) == StopStep::Closing));
    BOOST_TEST((lookFor(seconds(1)) == StopStep::Closing));
    open.connections = 0;
    BOOST_TEST((nextAfter(look) == StopStep::Leaving));
    BOOST_TEST(!drain.limitReached());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenARequestRunsOnAfterItsConnectionHasEnded)

BOOST_AUTO_TEST_CASE(ThenItsEndIsAwaited)
{
    addEntry();
    nextAfter(announcement);
    BOOST_TEST((lookFor(seconds(1)) == StopStep::Closing));
    BOOST_TEST((lookFor(milliseconds(500)) == StopStep::Closing));
    endEntry();
    BOOST_TEST((nextAfter(look) == StopStep::Leaving));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnswersWaitToBeWrittenToOtherNodes)

BOOST_AUTO_TEST_CASE(ThenTheProcessDoesNotEndBeforeTheyAre)
{
    nextAfter(announcement);
    nextAfter(look);
    BOOST_TEST((nextAfter(look) == StopStep::Leaving));
    open.unsent = 1;
    BOOST_TEST((lookFor(seconds(1)) == StopStep::Leaving));
    open.unsent = 0;
    BOOST_TEST((nextAfter(look) == StopStep::Ended));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenARequestOutlastsTheLimit)

BOOST_AUTO_TEST_CASE(ThenTheNodeEndsAndSaysSo)
{
    addAttempt();
    addEntry();
    open.connections = 1;
    open.unsent = 1;
    nextAfter(announcement);
    BOOST_TEST((nextAfter(limit - look) == StopStep::Finishing));
    BOOST_TEST((nextAfter(look) == StopStep::Closing));
    BOOST_TEST((nextAfter(look) == StopStep::Leaving));
    BOOST_TEST(drain.limitReached());
    BOOST_TEST((lookFor(seconds(1)) == StopStep::Ended));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

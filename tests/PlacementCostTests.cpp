// libraries: placement
#include "../bench/PlacementModel.h"

#include <boost/test/unit_test.hpp>

using namespace Vanillaridge;

namespace {

PlacementResult play(PlacementCase modelled, PlacementStrategy strategy)
{
    return PlacementModel(std::move(modelled), strategy).run();
}

// Whether requests complete within their target at least as often as with the other strategy, and the slowest of a
// hundred sooner.
void checkBetter(const PlacementCase& modelled)
{
    const auto soonest = play(modelled, PlacementStrategy::SoonestCompletion);
    const auto twoChoices = play(modelled, PlacementStrategy::TwoChoices);
    const auto random = play(modelled, PlacementStrategy::PureRandom);
    BOOST_TEST(soonest.inTarget >= twoChoices.inTarget);
    BOOST_TEST((soonest.p99 <= twoChoices.p99));
    BOOST_TEST(soonest.inTarget > random.inTarget);
}

constexpr Duration needed = milliseconds(100);

// A load of a server with this much work ahead.
ServerLoad loadOf(double requests, double speed = 1)
{
    return { .limit = 10, .requests = requests, .ownRequests = 0, .ownCost = 0, .speed = speed };
}

} // namespace

BOOST_AUTO_TEST_SUITE(GivenAServerAndARequestOfKnownCost)

constexpr CostEstimate estimate { 0.1, 0.2, 0.1 };

BOOST_AUTO_TEST_SUITE(WhenItsCompletionIsEstimated)

BOOST_AUTO_TEST_CASE(ThenAFreeSlotTakesNoWaitAndAFullServerDoes)
{
    BOOST_TEST(completionTime(loadOf(0), estimate, 0.1) == 0.1, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(completionTime(loadOf(30), estimate, 0.1) > 0.1 + 2 * 0.1);
}

BOOST_AUTO_TEST_CASE(ThenAFasterServerCompletesSoonerAndOwnWorkCountsByItsCost)
{
    BOOST_TEST(completionTime(loadOf(5, 2), estimate, 0.1) < completionTime(loadOf(5, 1), estimate, 0.1));
    auto cheap = loadOf(30);
    cheap.ownRequests = 30;
    cheap.ownCost = 0.3;
    BOOST_TEST(completionTime(cheap, estimate, 0.1) < completionTime(loadOf(30), estimate, 0.1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenCompletionsOfRequestsThatLookAlike)

BOOST_AUTO_TEST_SUITE(WhenTheirBodiesDifferInLength)

// Guards against long bodies that are taken to cost what short ones do, and against a few samples that are believed.
BOOST_AUTO_TEST_CASE(ThenEachLengthHasACostOfItsOwnOnceItIsKnown)
{
    Board board({ "127.0.0.1:7000", "zone-0", { 1 }, { 1 } });
    const CostModel costs(board);
    const CostTraits small { "upload", 500 };
    const CostTraits large { "upload", 1'000'000 };
    BOOST_TEST(costs.estimate("photos", small).mean == 0);
    for (int i = 0; i < 20; ++i)
        costs.record("photos", small, milliseconds(50));
    BOOST_TEST(costs.estimate("photos", large).mean == 0.05, boost::test_tools::tolerance(1e-9));
    for (int i = 0; i < 20; ++i)
        costs.record("photos", large, milliseconds(400));
    BOOST_TEST(costs.estimate("photos", small).mean == 0.05, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(costs.estimate("photos", large).mean == 0.4, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheyComeFromManyRoutes)

// Guards against a table that grows with whatever requests name.
BOOST_AUTO_TEST_CASE(ThenWhatIsKeptIsBounded)
{
    Board board({ "127.0.0.1:7000", "zone-0", { 1 }, { 1 } });
    const CostModel costs(board);
    for (int i = 0; i < 6000; ++i)
        costs.record("photos", { "route-" + std::to_string(i), 500 }, needed);
    BOOST_TEST(board.costs().size() <= 4096u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAServerSlowsDownAndIsLeftAlone)

// Guards against a server that was slow once and is never tried again.
BOOST_AUTO_TEST_CASE(ThenItsSpeedIsLearnedAndForgotten)
{
    ManualClock clock;
    SpeedRecord speed;
    for (int i = 0; i < 50; ++i) {
        recordSpeed(speed, 0.1, milliseconds(300), clock.now());
        clock.advance(milliseconds(100));
    }
    BOOST_TEST(speedAt(speed, clock.now()) < 0.4);
    clock.advance(seconds(30));
    BOOST_TEST(speedAt(speed, clock.now()) > 0.9);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenServersThatDifferInSpeed)

// Guards against requests that wait at a slow or crowded server while another would complete them sooner, under a load
// of 0.4 to 0.95 of what the servers can do.
BOOST_AUTO_TEST_SUITE(WhenRequestsThatLookAlikeDifferInCost)

BOOST_AUTO_TEST_CASE(ThenMoreCompleteWithinTheirTarget)
{
    for (const double load : { 0.4, 0.8, 0.95 }) {
        BOOST_TEST_CONTEXT("load " << load)
        {
            PlacementCase modelled;
            modelled.load = load;
            checkBetter(modelled);
        }
    }
}

BOOST_AUTO_TEST_CASE(ThenEqualServersGetMuchTheSameWork)
{
    PlacementCase modelled;
    modelled.speeds = { 1.0 };
    modelled.zones = 1;
    BOOST_TEST(play(modelled, PlacementStrategy::SoonestCompletion).imbalance < 1.2);
}

BOOST_AUTO_TEST_CASE(ThenRequestsStayInTheirZoneWhileTheirTargetAllows)
{
    PlacementCase modelled;
    modelled.load = 0.4;
    modelled.targetLatency = seconds(3);
    BOOST_TEST(play(modelled, PlacementStrategy::SoonestCompletion).inZone > 0.99);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against knowledge that is old or wrong and costs callers more than none.
BOOST_AUTO_TEST_SUITE(WhenWhatWasLearnedChanges)

BOOST_AUTO_TEST_CASE(ThenAServerThatJustSlowedDownCostsLittle)
{
    PlacementCase modelled;
    modelled.changeAt = seconds(3);
    modelled.changedSpeed = 0.15;
    checkBetter(modelled);
}

BOOST_AUTO_TEST_CASE(ThenACostThatDoublesCostsLittle)
{
    PlacementCase modelled;
    modelled.load = 0.6;
    modelled.changeAt = seconds(3);
    modelled.changedCost = 2;
    checkBetter(modelled);
}

BOOST_AUTO_TEST_CASE(ThenNoisyNeighboursCostLittle)
{
    PlacementCase modelled;
    modelled.noisyShare = 0.15;
    checkBetter(modelled);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against entries that learn at the same time and all choose the same good server.
BOOST_AUTO_TEST_SUITE(WhenManyEntriesLearnAtOnce)

BOOST_AUTO_TEST_CASE(ThenTheyDoNotHerd)
{
    PlacementCase modelled;
    modelled.entries = 90;
    modelled.length = seconds(2);
    checkBetter(modelled);
    BOOST_TEST(play(modelled, PlacementStrategy::SoonestCompletion).imbalance < 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

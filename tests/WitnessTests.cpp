// libraries: dissemination membership witness
#include "DirectoryWorld.h"

using namespace Vanillaridge;

namespace {

// A fleet that has run for a while when the store goes away.
struct FleetWithoutStore : DirectoryWorld {
    FleetWithoutStore()
        : DirectoryWorld(true)
    {
        fleet.startAll(8);
        within(seconds(10), [] { return false; });
        objects.down = true;
    }

    void startAgain(size_t index)
    {
        fleet.kill(index);
        fleet.start(index);
    }
};

} // namespace

// Guards against a server that is in use again after a restart, since the process that acknowledged its departure ended
// before the store came back.
BOOST_FIXTURE_TEST_SUITE(GivenAStoreThatIsAway, FleetWithoutStore)

BOOST_AUTO_TEST_SUITE(WhenABackendServerLeaves)

BOOST_AUTO_TEST_CASE(ThenItsDepartureIsAcknowledgedOnceAnotherMemberKeepsIt) { BOOST_TEST(remember(3, "i-1", 100)); }

BOOST_AUTO_TEST_CASE(ThenItIsNotAcknowledgedWhileNobodyKeepsIt)
{
    const auto alone = FakeFleet::endpointOf(3);
    fleet.cut = [alone](const Endpoint& from, const Endpoint& to) { return (from == alone) != (to == alone); };
    BOOST_TEST(!remember(3, "i-1", 100));
    fleet.cut = nullptr;
    BOOST_TEST(remember(3, "i-1", 100));
}

BOOST_AUTO_TEST_CASE(ThenTheNextProcessKnowsItWhileTheStoreIsStillAway)
{
    BOOST_TEST(remember(3, "i-1", 100));
    startAgain(3);
    BOOST_TEST(within(seconds(3), [&] { return departedLife(3, "i-1") == 100u; }));
}

BOOST_AUTO_TEST_CASE(ThenTheNextProcessKnowsItAfterTheOutageToo)
{
    BOOST_TEST(remember(3, "i-1", 100));
    fleet.kill(3);
    objects.down = false;
    fleet.start(3);
    BOOST_TEST(within(seconds(3), [&] { return departedLife(3, "i-1") == 100u; }));
}

BOOST_AUTO_TEST_CASE(ThenLostDatagramsDelayItOnly)
{
    fleet.loss = 0.3;
    BOOST_TEST(remember(3, "i-1", 100));
    startAgain(3);
    BOOST_TEST(within(seconds(10), [&] { return departedLife(3, "i-1") == 100u; }));
}

BOOST_AUTO_TEST_CASE(ThenTheNextProcessWritesItOnceTheStoreIsBack)
{
    BOOST_TEST(remember(3, "i-1", 100));
    startAgain(3);
    BOOST_TEST(within(seconds(3), [&] { return departedLife(3, "i-1") == 100u; }));
    objects.down = false;
    within(seconds(3), [] { return false; });
    witnesses.clear();
    startAgain(3);
    witnesses.clear();
    BOOST_TEST(within(seconds(1), [&] { return directoryOf(3).hasRecalled(); }));
    BOOST_TEST(departedLife(3, "i-1") == 100u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenSeveralLeaveAtOnce)

BOOST_AUTO_TEST_CASE(ThenNoneIsForgotten)
{
    noteDeparture(3, "i-1", 100);
    noteDeparture(3, "i-2", 200);
    BOOST_TEST(remember(3, "i-3", 300));
    startAgain(3);
    BOOST_TEST(within(seconds(3), [&] { return departedLife(3, "i-3") == 300u; }));
    BOOST_TEST(departedLife(3, "i-1") == 100u);
    BOOST_TEST(departedLife(3, "i-2") == 200u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTwoProcessesInARowEnd)

BOOST_AUTO_TEST_CASE(ThenTheThirdKnowsTheDeparturesOfBoth)
{
    BOOST_TEST(remember(3, "i-1", 100));
    startAgain(3);
    BOOST_TEST(within(seconds(3), [&] { return departedLife(3, "i-1") == 100u; }));
    BOOST_TEST(within(seconds(10), [&] { return fleet.agrees(); }));
    BOOST_TEST(remember(3, "i-2", 200));
    startAgain(3);
    BOOST_TEST(within(seconds(3), [&] { return departedLife(3, "i-2") == 200u; }));
    BOOST_TEST(within(seconds(3), [&] { return departedLife(3, "i-1") == 100u; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

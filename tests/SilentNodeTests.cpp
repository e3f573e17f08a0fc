// libraries: testfleet
#include "Fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>

using namespace Vanillaridge;

namespace {

// A write runs at the backend server beside the guard; it came in at another node.
struct RunningWrite {
    RunningWrite()
    {
        fleet.add({ "a", "ledger", {}, 4 });
        fleet.add({ "a", "", {}, 16 });
        BOOST_REQUIRE(fleet.start(testManifest({ "ledger" })));
        BOOST_REQUIRE(warm(entry(), "ledger"));
        begunBefore = count("begun");
        answer = std::async(std::launch::async,
            [call = writeCall("ledger", "slow?milliseconds=3000"), this] { return callHttp(entry().callers(), call); });
        BOOST_REQUIRE(eventually([&] { return count("running") == 1; }));
    }

    FleetNode& guard() { return fleet.node(0); }
    FleetNode& entry() { return fleet.node(1); }
    int count(const char* what) { return guard().serverLog().at(what).to_number<int>(); }
    // Whether the node has found that the other one is silent.
    static bool findsSilence(const FleetNode& node)
    {
        return node.metric("vanillaridge_peer_connections_lost_total") > 0;
    }

    Fleet fleet;
    int begunBefore = 0;
    std::future<HttpAnswer> answer;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GivenAWriteThatRuns, RunningWrite)

BOOST_AUTO_TEST_SUITE(WhenItsGuardIsSilentForSeconds)

BOOST_AUTO_TEST_CASE(ThenItIsNeitherRunAgainNorGivenUp)
{
    guard().process().signal(SIGSTOP);
    BOOST_REQUIRE(eventually([&] { return findsSilence(entry()); }));
    guard().process().signal(SIGCONT);
    const auto told = answer.get();
    BOOST_TEST(told.status == 200u, "status " << told.status << ", " << told.reason());
    BOOST_TEST(count("begun") == begunBefore + 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItsEntryIsSilentForSeconds)

BOOST_AUTO_TEST_CASE(ThenItIsFinishedAndItsAnswerDelivered)
{
    entry().process().signal(SIGSTOP);
    BOOST_REQUIRE(eventually([&] { return findsSilence(guard()); }));
    entry().process().signal(SIGCONT);
    const auto told = answer.get();
    BOOST_TEST(told.status == 200u, "status " << told.status << ", " << told.reason());
    BOOST_TEST(count("begun") == begunBefore + 1);
    BOOST_TEST(guard().metric("vanillaridge_requests_cancelled_total") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

// libraries: testfleet
#include "Fleet.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace Vanillaridge;

namespace {

// A node that allows two connections of callers; both wait for answers. During its slow start the guard starts three.
struct FullNode {
    FullNode()
    {
        fleet.add({ "a", "ledger", {}, 16, "connections = " + std::to_string(connections) });
        BOOST_REQUIRE(fleet.start(testManifest({ "ledger" })));
        BOOST_REQUIRE(warm(node(), "ledger"));
        for (uint32_t i = 0; i < connections; ++i)
            answers.push_back(
                std::async(std::launch::async, [call = writeCall("ledger", "slow?milliseconds=3000"), this] {
                    return callHttp(node().callers(), call);
                }));
        BOOST_REQUIRE(eventually([&] { return node().metric("vanillaridge_running_entries") == connections; }));
    }

    FleetNode& node() { return fleet.node(0); }

    static constexpr uint32_t connections = 2;
    Fleet fleet;
    std::vector<std::future<HttpAnswer>> answers;
};

} // namespace

// Guards against a node that says that it is ready and takes no connection.
BOOST_FIXTURE_TEST_SUITE(GivenANodeWhoseConnectionsAllWaitForAnswers, FullNode)

BOOST_AUTO_TEST_SUITE(WhenFurtherCallersKeepComing)

BOOST_AUTO_TEST_CASE(ThenItIsNotReadyUntilThereIsRoom)
{
    BOOST_TEST(eventually([&] {
        callHttp(node().callers(), readCall("ledger"));
        return !node().ready();
    }));
    for (auto& answer : answers) {
        const auto told = answer.get();
        BOOST_TEST(told.status == 200u, "status " << told.status << ", " << told.reason());
    }
    BOOST_TEST(eventually([&] { return node().ready(); }));
    BOOST_TEST(callHttp(node().callers(), readCall("ledger")).status == 200u);
    BOOST_TEST(node().metric("vanillaridge_connections_turned_away_total") > 0);
    BOOST_TEST(node().hasLogged("callers-not-accepted"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

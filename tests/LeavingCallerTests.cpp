// libraries: testfleet
#include "Fleet.h"

#include <boost/test/unit_test.hpp>

using namespace Vanillaridge;

namespace {

// Entry and guard are different processes; the backend server takes one request at a time.
struct OneSlot {
    OneSlot()
    {
        fleet.add({ "a", "ledger", {}, 1 });
        fleet.add({ "a", "", {}, 16 });
        BOOST_REQUIRE(fleet.start(testManifest({ "ledger" })));
        BOOST_REQUIRE(warm(entry(), "ledger"));
    }

    FleetNode& entry() { return fleet.node(1); }
    FleetNode& guard() { return fleet.node(0); }

    // Sends a request, and leaves when the guard holds so many.
    void leaveWhenGuardHolds(double attempts, HttpCall call)
    {
        LeavingCaller caller(entry().callers(), call);
        BOOST_REQUIRE(eventually([&] { return guard().metric("vanillaridge_running_attempts") == attempts; }));
    }

    // The first request and those after it take as long as their route allows, unless told otherwise.
    static HttpCall longRead()
    {
        auto call = readCall("ledger");
        call.target += "?milliseconds=60000";
        return call;
    }
    static HttpCall longWrite(int milliseconds = 60'000)
    {
        return writeCall("ledger", "long?milliseconds=" + std::to_string(milliseconds));
    }

    double connections() { return entry().metric("vanillaridge_peer_connections_opened_total"); }
    double refusals(const std::string& reason)
    {
        return entry().metric("vanillaridge_refusals_total{reason=\"" + reason + "\"}");
    }

    void checkWaiting(const HttpCall& call)
    {
        const auto before = connections();
        LeavingCaller first(entry().callers(), longRead());
        BOOST_REQUIRE(eventually([&] { return guard().metric("vanillaridge_running_attempts") == 1; }));
        leaveWhenGuardHolds(2, call);
        BOOST_TEST(eventually([&] { return refusals("caller-gone") == 1; }));
        BOOST_TEST(refusals("peer-unreachable") == 0);
        BOOST_TEST(connections() == before);
    }

    Fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GivenACallerThatLeaves, OneSlot)

BOOST_AUTO_TEST_SUITE(WhenItsReadRuns)

BOOST_AUTO_TEST_CASE(ThenTheBackendServerIsToldAndNobodyElseIsAsked)
{
    const auto before = connections();
    leaveWhenGuardHolds(1, longRead());
    BOOST_TEST(eventually([&] { return refusals("caller-gone") == 1; }));
    BOOST_TEST(eventually([&] { return guard().metric("vanillaridge_running_attempts") == 0; }));
    BOOST_TEST(connections() == before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItsWriteRuns)

BOOST_AUTO_TEST_CASE(ThenItIsFinished)
{
    const auto count = [&](const char* what) { return guard().serverLog().at(what).to_number<int>(); };
    const auto answered = [&] { return count("answered"); };
    const int before = answered();
    {
        LeavingCaller caller(entry().callers(), longWrite(1000));
        BOOST_REQUIRE(eventually([&] { return count("running") == 1; }));
    }
    BOOST_TEST(eventually([&] { return answered() == before + 1; }));
    BOOST_TEST(guard().metric("vanillaridge_requests_cancelled_total") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItsRequestWaitsForItsTurn)

BOOST_AUTO_TEST_CASE(ThenAReadIsGivenUpAndTheServersNodeIsNotTakenForUnreachable) { checkWaiting(longRead()); }

BOOST_AUTO_TEST_CASE(ThenAWriteIsGivenUpAndTheServersNodeIsNotTakenForUnreachable) { checkWaiting(longWrite()); }

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

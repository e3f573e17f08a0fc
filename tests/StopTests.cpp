// libraries: testfleet
#include "Fleet.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <future>
#include <mutex>

using namespace Vanillaridge;

namespace {

// Requests by target, and what their callers were told.
class Callers {
public:
    HttpAnswer write(HttpConnection& connection, const std::string& name)
    {
        auto call = writeCall("ledger", name);
        const auto answer = connection.call(call);
        std::lock_guard guard(m_lock);
        m_answers[call.target] = answer;
        return answer;
    }

    // Writes on one connection for as long as it is open, and then on new ones, until the node is gone.
    void writeUntilGone(const FleetNode& node, const std::string& name, const std::atomic<bool>& gone)
    {
        for (int i = 0; !gone;) {
            HttpConnection connection(node.callers());
            while (!gone && write(connection, fmt::format("{}-{}?milliseconds=30", name, i++)).status) { }
        }
    }

    size_t served() const
    {
        std::lock_guard guard(m_lock);
        return static_cast<size_t>(std::count_if(
            m_answers.begin(), m_answers.end(), [](const auto& entry) { return entry.second.status == 200; }));
    }

    // Each request that a backend server began got its whole answer, and none that was refused had begun.
    void check(Fleet& fleet) const
    {
        const auto begun = begunByTarget(fleet);
        std::lock_guard guard(m_lock);
        for (const auto& [target, answer] : m_answers) {
            const bool hasBegun = begun.contains(target);
            if (answer.outcome() == "not-run")
                BOOST_TEST(!hasBegun, target << " was refused as " << answer.reason());
            if (hasBegun)
                BOOST_TEST((answer.status == 200 && !answer.cutShort), target << " was begun and got no whole answer");
        }
    }

private:
    mutable std::mutex m_lock;
    std::map<std::string, HttpAnswer> m_answers;
};

// Entry and guard are different processes; the backend server beside the guard has so many slots.
struct EntryAndGuard {
    explicit EntryAndGuard(uint32_t slots)
    {
        fleet.add({ "a", "ledger", {}, slots });
        fleet.add({ "a", "", {}, 16 });
        BOOST_REQUIRE(fleet.start(testManifest({ "ledger" })));
        BOOST_REQUIRE(warm(entry(), "ledger"));
    }

    FleetNode& guard() { return fleet.node(0); }
    FleetNode& entry() { return fleet.node(1); }

    Fleet fleet;
};

// The entry is asked to stop.
struct StoppingEntry : EntryAndGuard {
    StoppingEntry()
        : EntryAndGuard(16)
    {
    }

    void askToStop() { entry().process().signal(SIGTERM); }
    int exitCode() { return entry().process().awaitEnd(std::chrono::seconds(30)).value_or(-1); }

    Callers callers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GivenANodeThatIsAskedToStop, StoppingEntry)

BOOST_AUTO_TEST_SUITE(WhenARequestComesOnAnOpenConnectionAtTheVeryEnd)

BOOST_AUTO_TEST_CASE(ThenItIsNotTakenAndThenCut)
{
    HttpConnection open(entry().callers());
    BOOST_REQUIRE(callers.write(open, "before").status == 200u);
    askToStop();
    BOOST_REQUIRE(eventually([&] { return entry().hasLogged("node-leaves"); }));
    callers.write(open, "late?milliseconds=2000");
    BOOST_TEST(exitCode() == 0);
    callers.check(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenCallersGoOnUntilItIsGone)

BOOST_AUTO_TEST_CASE(ThenWhatBeganIsAnsweredWhole)
{
    std::atomic<bool> gone { false };
    std::vector<std::future<void>> under;
    for (const std::string name : { "a", "b", "c", "d" })
        under.push_back(std::async(std::launch::async, [&, name] { callers.writeUntilGone(entry(), name, gone); }));
    askToStop();
    BOOST_REQUIRE(eventually([&] { return entry().hasLogged("node-draining"); }));
    const auto before = callers.served();
    BOOST_TEST(eventually([&] { return callers.served() > before + 10; }));
    BOOST_TEST(exitCode() == 0);
    gone = true;
    for (auto& caller : under)
        caller.get();
    callers.check(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

namespace {

// The backend server takes one request at a time.
struct LeavingServer : EntryAndGuard {
    LeavingServer()
        : EntryAndGuard(1)
    {
    }

    bool holds(double attempts) { return guard().metric("vanillaridge_running_attempts") == attempts; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GivenABackendServerThatLeaves, LeavingServer)

BOOST_AUTO_TEST_SUITE(WhenARequestWaitsForIt)

BOOST_AUTO_TEST_CASE(ThenItIsNotStartedThere)
{
    const auto endpoint = entry().callers();
    const LeavingCaller first(endpoint, writeCall("ledger", "first?milliseconds=1500"));
    BOOST_REQUIRE(eventually([&] { return holds(1); }));
    auto second = std::async(std::launch::async, [&] { return callHttp(endpoint, writeCall("ledger", "second")); });
    BOOST_REQUIRE(eventually([&] { return holds(2); }));
    guard().serverProcess().signal(SIGTERM);
    const auto answer = second.get();
    BOOST_TEST(answer.status != 200u);
    BOOST_TEST(answer.outcome() == "not-run");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

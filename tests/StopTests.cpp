// libraries: testfleet
#include "Fleet.h"

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

    // Each request that a backend server began was answered whole, and none that was refused had begun.
    void check(Fleet& fleet) const
    {
        const auto begun = begunByTarget(fleet);
        for (const auto& [target, answer] : m_answers) {
            const bool hasBegun = begun.contains(target);
            if (answer.outcome() == "not-run")
                BOOST_TEST(!hasBegun, target << " was refused as " << answer.reason());
            if (hasBegun)
                BOOST_TEST((answer.status && !answer.cutShort), target << " was begun and got no whole answer");
        }
    }

private:
    std::mutex m_lock;
    std::map<std::string, HttpAnswer> m_answers;
};

// Entry and guard are different processes, and the entry is asked to stop.
struct StoppingEntry {
    StoppingEntry()
    {
        fleet.add({ "a", "ledger", {}, 16 });
        fleet.add({ "a", "", {}, 16 });
        BOOST_REQUIRE(fleet.start(testManifest({ "ledger" })));
        BOOST_REQUIRE(warm(entry(), "ledger"));
    }

    FleetNode& entry() { return fleet.node(1); }
    void askToStop() { entry().process().signal(SIGTERM); }
    int exitCode() { return entry().process().awaitEnd(std::chrono::seconds(30)).value_or(-1); }

    Fleet fleet;
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
    BOOST_TEST(exitCode() == 0);
    gone = true;
    for (auto& caller : under)
        caller.get();
    callers.check(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

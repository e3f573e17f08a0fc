// libraries: quota
#include "QuotaWorld.h"

#include <boost/test/unit_test.hpp>

using namespace Vanillaridge;

namespace {

constexpr double rate = 40; // requests per second that the account is owed
constexpr double largestBurst = 40;

Declarations declareOwner()
{
    Declarations declarations;
    declarations.accounts = { { "owner", rate, largestBurst, {} } };
    return declarations;
}

QuotaSettings shortTerms()
{
    QuotaSettings settings;
    settings.slots = 16;
    settings.leaseTerm = seconds(20);
    return settings;
}

// Nodes whose requests may be refused further down after they have got a token.
struct RefusingFleet {
    explicit RefusingFleet(size_t nodes)
        : world(nodes, shortTerms(), declareOwner(), 11)
    {
        world.run(seconds(10));
    }

    // Sends requests to nodes drawn at random, and refuses this share of those that got a token a little later.
    void play(double perSecond, double refusedShare, Duration refusedAfter, Duration span)
    {
        double due = 0;
        for (const auto end = world.clock.now() + span; world.clock.now() < end; world.step()) {
            for (due += perSecond / 1000; due >= 1; due -= 1)
                send(refusedShare, refusedAfter);
            while (!m_refusals.empty() && m_refusals.front().due <= world.clock.now()) {
                const auto& refusal = m_refusals.front();
                world.nodes[refusal.node]->quota->giveBack("owner", refusal.decision);
                m_refusals.pop_front();
            }
        }
        world.run(seconds(1));
    }

    // Largest number of requests that ran in any window beyond what the account is owed in it.
    double excess() const
    {
        double most = -largestBurst;
        for (size_t first = 0; first < runs.size(); ++first) {
            for (size_t last = first; last < runs.size(); ++last) {
                const double window = std::chrono::duration<double>(runs[last] - runs[first]).count();
                most = std::max(most, double(last - first + 1) - largestBurst - rate * window);
            }
        }
        return most;
    }

    QuotaWorld world;
    int sent = 0;
    int overRate = 0;
    std::vector<Instant> runs;

private:
    struct Refusal {
        Instant due;
        size_t node;
        QuotaDecision decision;
    };

    void send(double refusedShare, Duration refusedAfter)
    {
        const auto node = world.random->below(world.nodes.size());
        const bool isRefused = world.random->unit() < refusedShare;
        ++sent;
        const auto decided = [this, node, isRefused, refusedAfter](const QuotaDecision& decision) {
            if (decision.answer == QuotaAnswer::Refused)
                ++overRate;
            else if (isRefused)
                m_refusals.push_back({ world.clock.now() + refusedAfter, node, decision });
            else
                runs.push_back(world.clock.now());
        };
        const auto decision = world.nodes[node]->quota->take("owner", decided);
        if (decision.answer != QuotaAnswer::Pending)
            decided(decision);
    }

    std::deque<Refusal> m_refusals;
};

} // namespace

BOOST_AUTO_TEST_SUITE(GivenRequestsThatAreRefusedAfterTheyGotAToken)

BOOST_AUTO_TEST_SUITE(WhenWhatRunsIsWithinTheRate)

BOOST_AUTO_TEST_CASE(ThenNobodyIsRefusedForItsRate)
{
    // 36 of 60 a second run.
    RefusingFleet fleet(16);
    fleet.play(60, 0.4, milliseconds(30), seconds(20));
    BOOST_TEST(fleet.overRate <= 0.02 * fleet.sent, fleet.overRate << " of " << fleet.sent << " over their rate");
}

BOOST_AUTO_TEST_CASE(ThenItIsTheSameAfterAWaitBeforeTheBackendServer)
{
    RefusingFleet fleet(16);
    fleet.play(60, 0.4, milliseconds(250), seconds(20));
    BOOST_TEST(fleet.overRate <= 0.02 * fleet.sent, fleet.overRate << " of " << fleet.sent << " over their rate");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenFarMoreIsAsked)

BOOST_AUTO_TEST_CASE(ThenNoWindowHasMoreThanTheAccountIsOwed)
{
    for (const double refusedShare : { 0.2, 0.5, 0.9 }) {
        RefusingFleet fleet(8);
        fleet.play(400, refusedShare, milliseconds(100), seconds(8));
        BOOST_TEST(fleet.excess() <= 0);
    }
}

BOOST_AUTO_TEST_CASE(ThenSoItIsIfEveryMessageComesTwiceOrLate)
{
    RefusingFleet fleet(8);
    fleet.world.delivery.duplication = 1;
    fleet.world.delivery.lateness = 0.2;
    fleet.play(200, 0.5, milliseconds(200), seconds(8));
    BOOST_TEST(fleet.excess() <= 0);
}

BOOST_AUTO_TEST_CASE(ThenABurstAfterAQuietTimeIsNoLarger)
{
    RefusingFleet fleet(4);
    for (int i = 0; i < 5; ++i) {
        fleet.play(2000, 0.5, milliseconds(400), milliseconds(100));
        fleet.world.run(milliseconds(700));
    }
    BOOST_TEST(fleet.excess() <= 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

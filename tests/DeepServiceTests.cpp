// libraries: admission
#include "AdmissionGuard.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace Vanillaridge;

namespace {

constexpr Rank highestRank = Rank::of(Importance::Critical);
constexpr Rank middleRank { Importance::High, Importance::High };
constexpr Rank lowRank { Importance::High, Importance::Normal };
constexpr Duration serviceTime = milliseconds(50);
constexpr Duration callerTimeout = milliseconds(700);

// Requests to a deep service at a constant rate: new requests of callers, or calls made by requests that run elsewhere.
struct Flow {
    Rank rank;
    uint32_t depth { 1 };
    double rate { 0 }; // per second
    bool parentKnown { true };
    double due { 0 };
    uint32_t accounts { 1 };
    int sent { 0 };
    int served { 0 };
    double servedShare() const { return sent ? double(served) / sent : 1; }
};

// A backend server at the end of a call chain that serves 2,000 requests per second. Upstream nodes ignore its
// feedback, so that the tests see the decisions of this guard alone.
struct DeepServer : Guard {
    DeepServer()
        : Guard(100)
    {
    }

    void simulate(std::span<Flow> flows, Duration span)
    {
        for (const auto end = clock.now() + span; clock.now() < end; clock.advance(milliseconds(1))) {
            completeDueRequests(flows);
            for (size_t i = 0; i < flows.size(); ++i) {
                for (flows[i].due += flows[i].rate / 1000; flows[i].due >= 1; flows[i].due -= 1)
                    send(flows[i], i);
            }
            for (const auto& change : admission.processQueues()) {
                if (change.decision.verdict == AdmissionVerdict::Admitted)
                    m_completions.emplace(clock.now() + serviceTime, change.attempt);
            }
        }
    }

private:
    void send(Flow& flow, size_t index)
    {
        auto context = request(Importance::Normal);
        context.rank = flow.rank;
        context.depth = flow.depth;
        context.parentKnown = flow.parentKnown;
        context.account = flow.depth > 1 ? "" : "owner-" + std::to_string(sequence % flow.accounts);
        ++flow.sent;
        m_flowOf[context.attempt] = index;
        const auto verdict = admission.offer(context, clock.now() + callerTimeout).verdict;
        if (verdict == AdmissionVerdict::Admitted)
            m_completions.emplace(clock.now() + serviceTime, context.attempt);
    }

    void completeDueRequests(std::span<Flow> flows)
    {
        while (!m_completions.empty() && m_completions.begin()->first <= clock.now()) {
            const auto attempt = m_completions.begin()->second;
            m_completions.erase(m_completions.begin());
            admission.finished("history", attempt, CompletionStatus::Served);
            ++flows[m_flowOf.at(attempt)].served;
        }
    }

    std::multimap<Instant, AttemptId> m_completions;
    std::map<AttemptId, size_t> m_flowOf;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GivenADeepServiceThatIsAskedForMoreThanItCanServe, DeepServer)

BOOST_AUTO_TEST_SUITE(WhenMostOfItIsCallsOfLessImportantRequests)

BOOST_AUTO_TEST_CASE(ThenItsOwnNewRequestsAreNotStarved)
{
    std::vector<Flow> flows { { middleRank, 1, 200 }, { lowRank, 3, 2400 } };
    simulate(flows, seconds(5));
    BOOST_TEST(flows[0].servedShare() >= 0.97);
    BOOST_TEST(flows[0].served + flows[1].served >= 0.95 * 2000 * 5);
}

BOOST_AUTO_TEST_CASE(ThenItsOwnNewRequestsAreNotStarvedByUntracedCalls)
{
    std::vector<Flow> flows { { middleRank, 1, 200 }, { lowRank, 3, 2400, false } };
    simulate(flows, seconds(5));
    BOOST_TEST(flows[0].servedShare() >= 0.97);
    BOOST_TEST(flows[0].served + flows[1].served >= 0.95 * 2000 * 5);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenMostOfItIsCallsOfMoreImportantRequests)

BOOST_AUTO_TEST_CASE(ThenTheyGoFirst)
{
    std::vector<Flow> flows { { lowRank, 1, 400 }, { middleRank, 3, 1900 } };
    simulate(flows, seconds(5));
    BOOST_TEST(flows[1].servedShare() >= 0.97);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenNewRequestsAndCallsAreOfOneRank)

BOOST_AUTO_TEST_CASE(ThenCallsArePreferredSoThatWorkDoneForThemIsNotLost)
{
    std::vector<Flow> flows { { middleRank, 1, 1200 }, { middleRank, 3, 1500 } };
    simulate(flows, seconds(5));
    BOOST_TEST(flows[1].servedShare() >= flows[0].servedShare() + 0.2);
    BOOST_TEST(flows[0].served + flows[1].served >= 0.95 * 2000 * 5);
}

BOOST_AUTO_TEST_CASE(ThenCallsAreNotTreatedAsOneLargeAccount)
{
    std::vector<Flow> flows { { middleRank, 1, 600 }, { middleRank, 3, 2200 } };
    flows[0].accounts = 60;
    simulate(flows, seconds(5));
    BOOST_TEST(flows[1].servedShare() >= flows[0].servedShare());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheMostImportantAloneAreMoreThanFits)

BOOST_AUTO_TEST_CASE(ThenAsManyAreServedAsFit)
{
    std::vector<Flow> flows { { highestRank, 1, 3000 } };
    simulate(flows, seconds(5));
    BOOST_TEST(flows[0].served >= 0.95 * 2000 * 5);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

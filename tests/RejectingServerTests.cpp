// libraries: admission
#include "AdmissionGuard.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>

using namespace Vanillaridge;

namespace {

constexpr uint32_t slots = 196;
constexpr Duration step = milliseconds(1);
constexpr Duration serviceTime = milliseconds(38);
// Time in which a backend server rejects a request.
constexpr Duration rejectionTime = milliseconds(2);
// Requests per second at which all slots are busy.
constexpr double capacity = 1e9 * slots / double(serviceTime.count());

// A node with a local backend server that rejects requests by a rule of the test.
class RejectingServer : public Guard {
public:
    // Whether a request is rejected, given the number of running requests.
    using RejectionRule = std::function<bool(size_t runningCount)>;

    RejectingServer()
        : Guard(slots, AdmissionStrategy::Adaptive, OverloadPolicy::GoodputFirst)
    {
    }

    // Sends requests at this rate for the given time.
    void simulate(double rate, Duration span, const RejectionRule& isRejected)
    {
        m_limits.clear();
        m_served = m_rejected = 0;
        for (const auto end = clock.now() + span; clock.now() < end;) {
            clock.advance(step);
            completeDueRequests();
            for (m_due += rate / 1000; m_due >= 1; m_due -= 1)
                offer(request(Importance::Normal));
            settle();
            for (const auto& attempt : std::exchange(running, {}))
                start(attempt, isRejected);
            m_limits.push_back(admission.feedback("history").limit);
        }
    }

    // The 10th percentile of the concurrency limit over the last run.
    uint32_t tenthPercentileLimit()
    {
        auto tenth = m_limits.begin() + ptrdiff_t(m_limits.size() / 10);
        std::nth_element(m_limits.begin(), tenth, m_limits.end());
        return *tenth;
    }

    double servedRate(Duration span) const { return m_served / std::chrono::duration<double>(span).count(); }
    double rejectedShare() const { return m_rejected / std::max(1.0, m_served + m_rejected); }

private:
    void start(const AttemptId& attempt, const RejectionRule& isRejected)
    {
        const bool rejected = isRejected(m_runningCount);
        m_runningCount += !rejected;
        m_completions.emplace(clock.now() + (rejected ? rejectionTime : serviceTime), std::pair(attempt, rejected));
    }

    void completeDueRequests()
    {
        while (!m_completions.empty() && m_completions.begin()->first <= clock.now()) {
            const auto [attempt, rejected] = m_completions.begin()->second;
            m_completions.erase(m_completions.begin());
            m_runningCount -= !rejected;
            (rejected ? m_rejected : m_served) += 1;
            admission.finished("history", attempt, rejected ? CompletionStatus::Overloaded : CompletionStatus::Served);
        }
    }

    std::multimap<Instant, std::pair<AttemptId, bool>> m_completions;
    std::vector<uint32_t> m_limits;
    size_t m_runningCount { 0 };
    double m_due { 0 };
    double m_served { 0 };
    double m_rejected { 0 };
};

struct Fixture {
    // Rejects this share of the requests, independent of the number of running requests.
    RejectingServer::RejectionRule rejectShare(double rejected)
    {
        return [this, rejected](size_t) { return random->unit() < rejected; };
    }
    // Rejects requests while this many or more are running.
    static RejectingServer::RejectionRule rejectAtOrAbove(size_t room)
    {
        return [room](size_t runningCount) { return runningCount >= room; };
    }
    static bool rejectNone(size_t) { return false; }

    RejectingServer server;
    std::unique_ptr<RandomSource> random { makeSeededRandom(11) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GivenABackendServerWithMoreWorkThanItCanDo, Fixture)

BOOST_AUTO_TEST_SUITE(WhenItRejectsAShareOfItsRequestsHoweverManyRun)

BOOST_AUTO_TEST_CASE(ThenItsLimitDoesNotCollapse)
{
    for (const double rejected : { 0.02, 0.2, 0.55 }) {
        BOOST_TEST_CONTEXT("rejected " << rejected)
        {
            Fixture fixture;
            fixture.server.simulate(2 * capacity, seconds(1), rejectNone);
            fixture.server.simulate(2 * capacity, seconds(9), fixture.rejectShare(rejected));
            BOOST_TEST(fixture.server.tenthPercentileLimit() >= 0.9 * slots);
        }
    }
}

BOOST_AUTO_TEST_CASE(ThenItServesAtCapacityAgainAsSoonAsItStopsRejecting)
{
    server.simulate(2 * capacity, seconds(9), rejectShare(0.55));
    server.simulate(2 * capacity, seconds(1), rejectNone);
    BOOST_TEST(server.servedRate(seconds(1)) >= 0.9 * capacity);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenNoConnectionToItCanBeMade)

BOOST_AUTO_TEST_CASE(ThenAllItsSlotsAreUsedOnceItIsBack)
{
    server.simulate(2 * capacity, seconds(5), rejectShare(1));
    server.simulate(2 * capacity, seconds(1), rejectNone);
    BOOST_TEST(server.servedRate(seconds(1)) >= 0.9 * capacity);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItHasLessRoomThanItDeclared)

BOOST_AUTO_TEST_CASE(ThenItIsSentWhatItHasRoomForAndLittleMore)
{
    for (const size_t room : { 20, 50, 100, 180 }) {
        BOOST_TEST_CONTEXT("room " << room)
        {
            Fixture fixture;
            fixture.server.simulate(2 * capacity, seconds(4), rejectAtOrAbove(room));
            fixture.server.simulate(2 * capacity, seconds(10), rejectAtOrAbove(room));
            BOOST_TEST(fixture.server.servedRate(seconds(10)) >= 0.8 * capacity * double(room) / slots);
            BOOST_TEST(fixture.server.rejectedShare() < 0.2);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

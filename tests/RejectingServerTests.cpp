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
constexpr Duration work = milliseconds(38);
// Time in which a backend server rejects a request.
constexpr Duration rejectionTime = milliseconds(2);
// Requests per second at which all slots are busy.
constexpr double capacity = 1e9 * slots / double(work.count());

// A node with a local backend server that rejects requests by a rule of the test.
class RejectingServer : public Guard {
public:
    // Whether a request is rejected, given the number of running requests.
    using Rejects = std::function<bool(size_t atWork)>;

    RejectingServer()
        : Guard(slots, AdmissionStrategy::Adaptive, OverloadPolicy::GoodputFirst)
    {
    }

    // Sends requests at this rate for the given time.
    void play(double rate, Duration span, const Rejects& rejects)
    {
        m_limits.clear();
        m_served = m_rejected = 0;
        for (const auto end = clock.now() + span; clock.now() < end;) {
            clock.advance(step);
            finish();
            for (m_due += rate / 1000; m_due >= 1; m_due -= 1)
                offer(request(Importance::Normal));
            settle();
            for (const auto& attempt : std::exchange(running, {}))
                start(attempt, rejects);
            m_limits.push_back(admission.feedback("history").limit);
        }
    }

    // The 10th percentile of the concurrency limit over the last run.
    uint32_t usualLimit()
    {
        auto tenth = m_limits.begin() + ptrdiff_t(m_limits.size() / 10);
        std::nth_element(m_limits.begin(), tenth, m_limits.end());
        return *tenth;
    }

    double servedRate(Duration span) const { return m_served / std::chrono::duration<double>(span).count(); }
    double rejectedShare() const { return m_rejected / std::max(1.0, m_served + m_rejected); }

private:
    void start(const AttemptId& attempt, const Rejects& rejects)
    {
        const bool rejected = rejects(m_atWork);
        m_atWork += !rejected;
        m_ends.emplace(clock.now() + (rejected ? rejectionTime : work), std::pair(attempt, rejected));
    }

    void finish()
    {
        while (!m_ends.empty() && m_ends.begin()->first <= clock.now()) {
            const auto [attempt, rejected] = m_ends.begin()->second;
            m_ends.erase(m_ends.begin());
            m_atWork -= !rejected;
            (rejected ? m_rejected : m_served) += 1;
            admission.finished("history", attempt, rejected ? CompletionStatus::Overloaded : CompletionStatus::Served);
        }
    }

    std::multimap<Instant, std::pair<AttemptId, bool>> m_ends;
    std::vector<uint32_t> m_limits;
    size_t m_atWork { 0 };
    double m_due { 0 };
    double m_served { 0 };
    double m_rejected { 0 };
};

struct Fixture {
    // Rejects this share of the requests, independent of the number of running requests.
    RejectingServer::Rejects share(double rejected)
    {
        return [this, rejected](size_t) { return random->unit() < rejected; };
    }
    // Rejects requests while this many or more are running.
    static RejectingServer::Rejects beyond(size_t room)
    {
        return [room](size_t atWork) { return atWork >= room; };
    }
    static bool never(size_t) { return false; }

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
            fixture.server.play(2 * capacity, seconds(1), never);
            fixture.server.play(2 * capacity, seconds(9), fixture.share(rejected));
            BOOST_TEST(fixture.server.usualLimit() >= 0.9 * slots);
        }
    }
}

BOOST_AUTO_TEST_CASE(ThenItServesAllAgainAsSoonAsItRejectsNoMore)
{
    server.play(2 * capacity, seconds(9), share(0.55));
    server.play(2 * capacity, seconds(1), never);
    BOOST_TEST(server.servedRate(seconds(1)) >= 0.9 * capacity);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenNoConnectionToItCanBeMade)

BOOST_AUTO_TEST_CASE(ThenItsSlotsAreThereOnceItIsBack)
{
    server.play(2 * capacity, seconds(5), share(1));
    server.play(2 * capacity, seconds(1), never);
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
            fixture.server.play(2 * capacity, seconds(4), beyond(room));
            fixture.server.play(2 * capacity, seconds(10), beyond(room));
            BOOST_TEST(fixture.server.servedRate(seconds(10)) >= 0.8 * capacity * double(room) / slots);
            BOOST_TEST(fixture.server.rejectedShare() < 0.2);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

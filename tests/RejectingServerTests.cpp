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
// A backend server that does not take a request says so within this.
constexpr Duration rejectionTime = milliseconds(2);
// Calls per second that the slots allow for.
constexpr double capacity = 1e9 * slots / double(work.count());

// A node beside a backend server that rejects some of what it is sent, as the test says.
class RejectingServer : public Guard {
public:
    // Whether a request is rejected, by how many run.
    using Rejects = std::function<bool(size_t atWork)>;

    RejectingServer()
        : Guard(slots, AdmissionStrategy::Adaptive, OverloadPolicy::GoodputFirst)
    {
    }

    // Calls come at this rate for so long, and are served or rejected.
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

    // The limit that it had at least for all but a tenth of the time.
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
    // Rejects this share of the requests, however many run.
    RejectingServer::Rejects share(double rejected)
    {
        return [this, rejected](size_t) { return random->unit() < rejected; };
    }
    // Rejects what comes while this many run.
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

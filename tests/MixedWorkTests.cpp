// libraries: admission
#include "AdmissionGuard.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace Vanillaridge;

namespace {

// A backend server whose routes have different service times.
struct MixedServer : Guard {
    explicit MixedServer(uint32_t slots = 100)
        : Guard(slots)
    {
    }

    RequestContext requestOf(std::string_view route)
    {
        auto context = request(Importance::Normal);
        context.route = route;
        return context;
    }

    AdmissionDecision offerWithin(const RequestContext& context, Duration timeLeft)
    {
        return admission.offer(context, clock.now() + timeLeft);
    }

    // Serves requests of a route one at a time.
    void serve(std::string_view route, int count, Duration serviceTime)
    {
        for (int i = 0; i < count; ++i) {
            const auto context = requestOf(route);
            offer(context);
            clock.advance(serviceTime);
            admission.finished("history", context.attempt, CompletionStatus::Served);
            settle();
        }
    }
};

// Requests of one route at a constant rate.
struct Flow {
    std::string_view route;
    double rate; // requests per second
    Duration serviceTime; // at the backend server
    Duration timeout;
    int sent { 0 };
    int served { 0 };
};

// Sends all flows for the given time and counts the requests served before their deadline.
void simulate(MixedServer& server, std::span<Flow> flows, Duration span)
{
    constexpr Duration step = milliseconds(1);
    struct Running {
        AttemptId attempt;
        Flow* flow;
        Instant deadline;
    };
    std::multimap<Instant, Running> completions;
    std::map<AttemptId, Running> waiting;
    const auto start
        = [&](const Running& running) { completions.emplace(server.clock.now() + running.flow->serviceTime, running); };
    std::vector<double> due(flows.size());
    for (const auto end = server.clock.now() + span; server.clock.now() < end; server.clock.advance(step)) {
        while (!completions.empty() && completions.begin()->first <= server.clock.now()) {
            const auto [completedAt, running] = *completions.begin();
            completions.erase(completions.begin());
            server.admission.finished("history", running.attempt, CompletionStatus::Served);
            running.flow->served += completedAt <= running.deadline;
        }
        for (size_t i = 0; i < flows.size(); ++i) {
            for (due[i] += flows[i].rate / 1000; due[i] >= 1; due[i] -= 1) {
                const auto context = server.requestOf(flows[i].route);
                const Running running { context.attempt, &flows[i], server.clock.now() + flows[i].timeout };
                const auto verdict = server.offerWithin(context, flows[i].timeout).verdict;
                ++flows[i].sent;
                if (verdict == AdmissionVerdict::Admitted)
                    start(running);
                else if (verdict == AdmissionVerdict::Waiting)
                    waiting.emplace(context.attempt, running);
            }
        }
        for (const auto& change : server.admission.processQueues()) {
            const auto found = waiting.extract(change.attempt);
            if (change.decision.verdict == AdmissionVerdict::Admitted)
                start(found.mapped());
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(GivenABackendServerWithLongAndShortWork)

BOOST_AUTO_TEST_SUITE(WhenASlotIsFree)

BOOST_AUTO_TEST_CASE(ThenAShortRequestIsNotRefusedForTheLengthOfTheLongOnes)
{
    MixedServer server;
    server.serve("sign", 100, seconds(1));
    const auto decision = server.offerWithin(server.requestOf("status"), milliseconds(500));
    BOOST_TEST((decision.verdict == AdmissionVerdict::Admitted));
}

BOOST_AUTO_TEST_CASE(ThenOneThatItsRouteCannotFinishIsTriedUnlessAServiceThatItCallsShedsLoad)
{
    MixedServer server;
    server.serve("sign", 100, seconds(1));
    BOOST_TEST((server.offerWithin(server.requestOf("sign"), milliseconds(500)).verdict == AdmissionVerdict::Admitted));
    server.board.routeCalls().update("sign", [](RouteCallsRecord& record) {
        record.requests = 100;
        record.calls["photo-index"] = 100;
    });
    BOOST_TEST((server.offerWithin(server.requestOf("sign"), milliseconds(500)).verdict == AdmissionVerdict::Admitted));
    server.board.shedRecords().update({ "photo-index", "" }, [&](ShedRecord& record) {
        record = { 0.1, server.clock.now(), 0, 0 };
    });
    const auto decision = server.offerWithin(server.requestOf("sign"), milliseconds(500));
    BOOST_TEST((decision.reason == Reason::DeadlineExceeded));
    BOOST_TEST((decision.expected == seconds(1)));
    BOOST_TEST((server.offerWithin(server.requestOf("sign"), seconds(2)).verdict == AdmissionVerdict::Admitted));
}

BOOST_AUTO_TEST_CASE(ThenOneWhoseDeadlineHasPassedIsRefused)
{
    MixedServer server;
    const auto decision = server.offerWithin(server.requestOf("status"), Duration(0));
    BOOST_TEST((decision.reason == Reason::DeadlineExceeded));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenNoSlotIsFree)

BOOST_AUTO_TEST_CASE(ThenOneThatItsRouteCannotFinishIsRefusedAndOthersWait)
{
    MixedServer server(1);
    server.serve("sign", 100, seconds(1));
    server.serve("status", 100, milliseconds(20));
    server.offer(server.requestOf("sign"));
    BOOST_TEST((server.offerWithin(server.requestOf("sign"), milliseconds(500)).reason == Reason::DeadlineExceeded));
    const auto waits = server.requestOf("status");
    BOOST_TEST((server.offerWithin(waits, milliseconds(500)).verdict == AdmissionVerdict::Waiting));

    // Its deadline comes too close while it waits.
    server.clock.advance(milliseconds(490));
    const auto changes = server.settle();
    BOOST_REQUIRE(changes.size() == 1u);
    BOOST_TEST((changes[0].attempt == waits.attempt));
    BOOST_TEST((changes[0].decision.reason == Reason::DeadlineExceeded));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenARouteWasSlowForAWhile)

BOOST_AUTO_TEST_CASE(ThenItIsTriedAgainDespiteItsEarlierServiceTime)
{
    MixedServer server(1);
    server.serve("status", 100, seconds(1));
    server.offer(server.requestOf("sign"));
    const auto refused = server.offerWithin(server.requestOf("status"), milliseconds(500));
    BOOST_TEST((refused.reason == Reason::DeadlineExceeded));
    server.clock.advance(seconds(3));
    const auto tried = server.offerWithin(server.requestOf("status"), milliseconds(500));
    BOOST_TEST((tried.verdict == AdmissionVerdict::Waiting));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAllRequestsFit)

BOOST_AUTO_TEST_CASE(ThenShortRequestsWithLittleTimeAreServedBesideLongOnes)
{
    MixedServer server;
    std::vector<Flow> flows { { "sign", 60, seconds(1), seconds(5) },
        { "status", 200, milliseconds(20), milliseconds(300) } };
    simulate(server, flows, seconds(20));
    BOOST_TEST(flows[1].served >= flows[1].sent - 10);
    BOOST_TEST(flows[0].served >= flows[0].sent - 70);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

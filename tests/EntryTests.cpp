// libraries: entry
#include "entry/Entry.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace Vanillaridge;

namespace {

constexpr std::string_view northKey = "key-of-north";

Declarations declarations()
{
    Declarations declared;
    declared.services = { { "reports" }, { "archive" }, { "rides" } };
    declared.accounts = { { "north", 10, 20, { digestOfKey(northKey) }, Importance::Critical },
        { "south", 10, 20, { digestOfKey("key-of-south") } } };
    Route read;
    read.name = "read";
    read.host = "reports.example";
    read.path = "/reports/*";
    read.shares = { { "reports", 90 }, { "archive", 10 } };
    Route registry;
    registry.name = "registry";
    registry.host = "rides.example";
    registry.path = "/registry/*";
    registry.service = "rides";
    registry.open = true;
    Route anywhere;
    anywhere.name = "anywhere";
    anywhere.path = "/reports/*";
    anywhere.service = "archive";
    declared.routes = { read, registry, anywhere };
    return declared;
}

struct Story {
    Story()
    {
        board.configuration().adopt(std::make_shared<const Configuration>(1, declarations()));
        freshness.tick();
        board.configuration().updateFreshness([&](FreshnessRecord& record) {
            record.confirmedAt = clock.now();
            record.newestNumber = 1;
            record.viewRefreshed = true;
            record.storeReachable = true;
            record.reachableShare = 1;
        });
        freshness.tick();
    }

    EntryDecision decide(std::string_view host, std::string_view path, std::optional<std::string_view> key = {},
        std::optional<Duration> remaining = {}, Duration readDelay = Duration(0))
    {
        IncomingRequest request;
        request.host = host;
        request.method = "GET";
        request.path = path;
        request.key = key;
        request.remaining = remaining;
        request.readDelay = readDelay;
        return entry.decide(request);
    }

    // Makes a call whose id extends that of a request.
    EntryDecision labelledCall(std::string_view label, Duration remaining)
    {
        IncomingRequest request;
        request.host = "rides.example";
        request.method = "GET";
        request.path = "/registry/1";
        request.remaining = remaining;
        request.label = label;
        return entry.decide(request);
    }

    // Makes a call from the local backend server with this remaining time.
    EntryDecision call(Duration remaining, Duration readDelay = Duration(0))
    {
        return decide("rides.example", "/registry/1", {}, remaining, readDelay);
    }

    // Starts a request at the local backend server whose deadline is this far away.
    void run(uint64_t sequence, const RouteName& route, Importance importance, Duration left = seconds(3),
        const std::string& label = {})
    {
        const AttemptId id { { { 9 }, { 9 }, sequence }, 1 };
        board.attempts().update(id, [&](AttemptRecord& record) {
            record.state = AttemptState::Started;
            record.deadline = clock.now() + left;
            record.context.treeHash = sequence;
            record.context.depth = 1;
            record.context.attempt = id;
            record.context.route = route;
            record.context.rank = Rank::of(importance);
            record.context.represents = 3;
        });
        if (!label.empty())
            board.attemptsByLabel().update(label, [&](AttemptId& attempt) { attempt = id; });
    }

    ManualClock clock;
    std::unique_ptr<RandomSource> random = makeSeededRandom(20260401);
    Board board { { "10.0.0.1:7000", "a", { 1 }, { 1 } } };
    Freshness freshness { board, clock, {} };
    Retry retry { board, clock, *random };
    Entry entry { board, clock, *random, freshness, retry };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GivenRoutesOfSeveralHosts, Story)

BOOST_AUTO_TEST_CASE(ThenANamedHostTakesPrecedenceOverAnyHost)
{
    BOOST_TEST(decide("reports.example", "/reports/1", northKey).context.route == "read");
    BOOST_TEST(decide("other.example", "/reports/1", northKey).context.route == "anywhere");
    BOOST_TEST((decide("other.example", "/registry/1").reason == Reason::NoRoute));
}

// The log line of a 404 has to tell which configuration knew no route.
BOOST_AUTO_TEST_CASE(ThenARefusalForWantOfARouteNamesTheConfiguration)
{
    const auto decision = decide("other.example", "/registry/1");
    BOOST_REQUIRE(decision.configuration);
    BOOST_TEST(decision.configuration == board.configuration().inForce());
}

BOOST_AUTO_TEST_CASE(ThenAnAccountsImportanceOverridesTheRoutes)
{
    BOOST_TEST((decide("reports.example", "/reports/1", northKey).context.rank.account == Importance::Critical));
    BOOST_TEST((decide("reports.example", "/reports/1", "key-of-south").context.rank.account == Importance::Normal));
}

BOOST_AUTO_TEST_CASE(ThenRouteImportanceOrdersAccountsOfEqualImportance)
{
    auto declared = declarations();
    declared.accounts[1].importance = Importance::Critical;
    declared.routes[0].importance = Importance::High;
    declared.routes[2].importance = Importance::Low;
    board.configuration().adopt(std::make_shared<const Configuration>(2, std::move(declared)));
    const auto rankOf
        = [&](std::string_view host, std::string_view key) { return decide(host, "/reports/1", key).context.rank; };
    BOOST_TEST((rankOf("reports.example", northKey) < rankOf("other.example", northKey)));
    BOOST_TEST((rankOf("reports.example", "key-of-south") < rankOf("other.example", northKey)));
    BOOST_TEST((rankOf("reports.example", "key-of-south") == rankOf("reports.example", northKey)));
}

BOOST_AUTO_TEST_CASE(ThenWeightsAreHonoredFromTheFirstRequestsOn)
{
    std::map<ServiceName, int> counts;
    for (int i = 0; i < 50; ++i)
        ++counts[decide("reports.example", "/reports/1", northKey).context.service];
    BOOST_TEST(counts["archive"] >= 4);
    BOOST_TEST(counts["archive"] <= 6);
}

BOOST_AUTO_TEST_SUITE(WhenAnOpenRouteIsCalledNextToABusyBackendServer)

BOOST_AUTO_TEST_CASE(ThenTheCallInheritsTheRankOfARunningRequest)
{
    for (uint64_t i = 0; i < 30; ++i)
        run(i, i < 10 ? "sign" : "look-up", i < 10 ? Importance::Critical : Importance::Low);
    std::map<Importance, int> counts;
    for (int i = 0; i < 600; ++i) {
        const auto decision = decide("rides.example", "/registry/1");
        BOOST_TEST(!decision.context.parentKnown);
        BOOST_TEST(decision.context.represents == 3);
        ++counts[decision.context.rank.account];
    }
    BOOST_TEST(counts[Importance::Critical] > 150);
    BOOST_TEST(counts[Importance::Critical] < 250);
}

BOOST_AUTO_TEST_CASE(ThenTheCallIsTracedToTheRequestWithTheSameDeadline)
{
    for (uint64_t i = 0; i < 30; ++i)
        run(i, i < 29 ? "sign" : "upload", i < 29 ? Importance::Critical : Importance::Low, milliseconds(500 + 50 * i));
    for (uint64_t i = 0; i < 30; ++i) {
        const auto decision = call(milliseconds(499 + 50 * i));
        BOOST_TEST(decision.context.parentKnown);
        BOOST_TEST(decision.context.treeHash == i);
        BOOST_TEST(decision.context.depth == 2u);
        BOOST_TEST(decision.parentRoute == (i < 29 ? "sign" : "upload"));
        BOOST_TEST((decision.context.rank == Rank::of(i < 29 ? Importance::Critical : Importance::Low)));
    }
    BOOST_TEST(board.counters().value(Counter::CallsTraced) == 30u);
}

BOOST_AUTO_TEST_CASE(ThenACallThatWasReadLateIsTraced)
{
    run(1, "sign", Importance::Critical, milliseconds(600));
    run(2, "upload", Importance::Low, milliseconds(900));
    clock.advance(milliseconds(100));
    // The call arrived with 500 ms remaining and was read 15 ms later.
    clock.advance(milliseconds(15));
    const auto decision = call(milliseconds(500), milliseconds(20));
    BOOST_TEST(decision.context.parentKnown);
    BOOST_TEST(decision.context.treeHash == 1u);
}

BOOST_AUTO_TEST_CASE(ThenCallsAreNotAttributedToAnotherRouteThatRuns)
{
    run(1, "sign", Importance::Critical, milliseconds(600));
    run(2, "upload", Importance::Low, milliseconds(900));
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(call(milliseconds(600)).parentRoute == "sign");
    // Nor if the call's deadline is earlier than that of either request.
    for (int i = 0; i < 50; ++i) {
        const auto untraced = call(milliseconds(300));
        BOOST_TEST(!untraced.context.parentKnown);
        BOOST_TEST(untraced.parentRoute == "sign");
    }
}

BOOST_AUTO_TEST_CASE(ThenAChanceDeadlineMatchIsNotTraced)
{
    for (uint64_t i = 0; i < 400; ++i)
        run(i, "sign", Importance::High, milliseconds(700 + 2 * i));
    const auto traced = [&](int calls) {
        int count = 0;
        for (int i = 0; i < calls; ++i)
            count += call(milliseconds(800 + random->below(600))).context.parentKnown;
        return count;
    };
    traced(200);
    BOOST_TEST(traced(200) <= 20);
}

BOOST_AUTO_TEST_CASE(ThenACallIsNotTracedWhereLagLeavesSeveralCandidates)
{
    for (uint64_t i = 0; i < 100; ++i)
        run(i, "sign", Importance::High, milliseconds(700 + 4 * i));
    int traced = 0;
    for (int i = 0; i < 100; ++i)
        traced += call(milliseconds(900), milliseconds(100)).context.parentKnown;
    BOOST_TEST(traced == 0);
}

BOOST_AUTO_TEST_CASE(ThenUnmatchedCallsAreAttributedToRoutesWithMatches)
{
    for (uint64_t i = 0; i < 300; ++i)
        run(i, i % 2 ? "upload" : "sign", Importance::High, milliseconds(400 + 4 * i));
    int toUploads = 0;
    for (int i = 0; i < 1000; ++i) {
        // Every fourth call has the deadline of a running "sign" request.
        const auto left = i % 4 ? milliseconds(600 + random->below(100)) : milliseconds(400 + 8 * random->below(100));
        toUploads += i >= 500 && call(left).parentRoute == "upload";
    }
    BOOST_TEST(toUploads <= 75);
}

BOOST_AUTO_TEST_SUITE(AndItsIdExtendsThatOfARunningRequest)

BOOST_AUTO_TEST_CASE(ThenEachCallIsTracedAtEveryDepth)
{
    // Hundreds run, their deadlines milliseconds apart, and calls are made together with deadlines of their own.
    constexpr uint64_t running = 400;
    for (const int depth : { 1, 2, 3, 4 }) {
        Story story;
        const auto labelOf = [&](uint64_t i) {
            std::string label = "request-" + std::to_string(i);
            for (int level = 1; level < depth; ++level)
                label += "." + std::to_string(level);
            return label;
        };
        for (uint64_t i = 0; i < running; ++i)
            story.run(i, i % 2 ? "sign" : "look-up", Importance::High, milliseconds(700 + 3 * i), labelOf(i));
        int traced = 0;
        int wrong = 0;
        for (uint64_t i = 0; i < running; ++i) {
            for (int call = 0; call < 4; ++call) {
                const auto remaining = std::min(milliseconds(706), milliseconds(700 + 3 * i));
                const auto decision = story.labelledCall(labelOf(i) + "." + std::to_string(call), remaining);
                traced += decision.context.parentKnown;
                wrong += decision.context.parentKnown && decision.context.treeHash != i;
            }
        }
        BOOST_TEST_CONTEXT("depth " << depth)
        {
            BOOST_TEST(traced >= int(0.99 * 4 * running));
            BOOST_TEST(wrong == 0);
        }
    }
}

BOOST_AUTO_TEST_CASE(ThenARequestThatEndsBeforeTheCallIsNotItsParent)
{
    run(1, "sign", Importance::Critical, milliseconds(600), "one");
    run(2, "upload", Importance::Low, milliseconds(3000), "two");
    BOOST_TEST(labelledCall("one.1", milliseconds(600)).context.treeHash == 1u);
    BOOST_TEST(!labelledCall("one.1", milliseconds(900)).context.parentKnown);
}

BOOST_AUTO_TEST_CASE(ThenAnIdThatNamesNoRunningRequestIsNoEvidence)
{
    for (uint64_t i = 0; i < 30; ++i)
        run(i, "sign", Importance::High, milliseconds(700 + 3 * i), "request-" + std::to_string(i));
    for (const std::string_view label : { "request-99.1", "request-1", ".", ".1", "", "request-1x.1" })
        BOOST_TEST(!labelledCall(label, milliseconds(300)).context.parentKnown);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(ThenARequestThatHasJustStartedIsMatched)
{
    run(1, "sign", Importance::Critical, milliseconds(600));
    call(milliseconds(600));
    clock.advance(milliseconds(2));
    run(2, "upload", Importance::Low, milliseconds(900));
    BOOST_TEST(call(milliseconds(900)).context.treeHash == 2u);
}

BOOST_AUTO_TEST_CASE(ThenCompletedRequestsAreSoonIgnored)
{
    run(1, "sign", Importance::Critical);
    BOOST_TEST(!decide("rides.example", "/registry/1").context.parentKnown);
    board.attempts().eraseIf([](const AttemptId&, const AttemptRecord&) { return true; });
    run(2, "look-up", Importance::Low);
    clock.advance(milliseconds(10));
    BOOST_TEST((decide("rides.example", "/registry/1").context.rank.account == Importance::Low));
    board.attempts().eraseIf([](const AttemptId&, const AttemptRecord&) { return true; });
    clock.advance(milliseconds(10));
    BOOST_TEST(decide("rides.example", "/registry/1").context.parentKnown);
}

BOOST_AUTO_TEST_CASE(ThenWithoutRunningRequestsItIsACallersRequest)
{
    const auto decision = decide("rides.example", "/registry/1");
    BOOST_TEST(decision.context.parentKnown);
    BOOST_TEST((decision.context.rank.account == Importance::Normal));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(GivenANodeThatLagsBehind, Story)

BOOST_AUTO_TEST_CASE(ThenTheReadDelayIsDeductedFromTheRemainingTime)
{
    IncomingRequest request { "reports.example", "GET", "/reports/1", northKey, seconds(2), {}, {}, milliseconds(90) };
    const auto decision = entry.decide(request);
    BOOST_TEST((decision.reason == Reason::None));
    BOOST_TEST((decision.context.remaining == milliseconds(1910)));
    request.remaining = milliseconds(80);
    BOOST_TEST((entry.decide(request).reason == Reason::DeadlineExceeded));
}

BOOST_AUTO_TEST_CASE(ThenTheLeastImportantAreRefusedFirst)
{
    const auto refused = [&](std::string_view key, Duration lag) {
        int count = 0;
        for (int i = 0; i < 400; ++i) {
            const IncomingRequest request { "reports.example", "GET", "/reports/1", key, seconds(2), {}, {}, lag };
            count += entry.decide(request).reason == Reason::NodeBusy;
        }
        return count;
    };
    BOOST_TEST(refused(northKey, milliseconds(100)) == 0);
    BOOST_TEST(refused("key-of-south", milliseconds(100)) == 0);
    BOOST_TEST(refused("key-of-south", milliseconds(275)) > 150);
    BOOST_TEST(refused(northKey, milliseconds(275)) == 0);
    BOOST_TEST(refused(northKey, milliseconds(460)) == 400);
}

BOOST_AUTO_TEST_CASE(ThenCallsOfRunningRequestsAreStillServed)
{
    run(1, "sign", Importance::Low);
    const IncomingRequest request { "rides.example", "GET", "/registry/1", {}, seconds(2), {}, {}, milliseconds(500) };
    BOOST_TEST((entry.decide(request).reason == Reason::None));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(GivenANodeThatRefusesNewWork, Story)

BOOST_AUTO_TEST_CASE(ThenCallersRequestsAreRefusedAsNotRun)
{
    board.startRefusingNewWork();
    const auto decision = decide("reports.example", "/reports/1", northKey);
    BOOST_TEST((decision.reason == Reason::Draining));
    BOOST_TEST((row(decision.reason).outcome == Outcome::NotRun));
    BOOST_TEST((decide("rides.example", "/registry/1").reason == Reason::Draining));
}

BOOST_AUTO_TEST_CASE(ThenCallsOfRunningRequestsAreStillServed)
{
    run(1, "read", Importance::Critical);
    board.startRefusingNewWork();
    BOOST_TEST((decide("rides.example", "/registry/1").reason == Reason::None));
}

BOOST_AUTO_TEST_CASE(ThenCallsAreStillServedWhereNoAccountsAreDeclared)
{
    auto withoutAccounts = declarations();
    withoutAccounts.accounts.clear();
    board.configuration().adopt(std::make_shared<const Configuration>(2, std::move(withoutAccounts)));
    run(1, "registry", Importance::Normal);
    board.startRefusingNewWork();
    BOOST_TEST((decide("rides.example", "/registry/1").reason == Reason::None));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(GivenACallerThatWasRefused, Story)

BOOST_AUTO_TEST_CASE(ThenItsRetryIsShedAfterOthersOfItsImportance)
{
    const auto rankOf = [&](Duration remaining) {
        const IncomingRequest request { "reports.example", "GET", "/reports/1", northKey, remaining, {}, {}, {} };
        return sheddingHeight(entry.decide(request).context);
    };
    double lowest = rankCount;
    for (int i = 0; i < 200; ++i) {
        lowest = std::min(lowest, rankOf(seconds(5)));
        // A caller that retries at once is not favored.
        lowest = std::min(lowest, rankOf(milliseconds(4900)));
    }
    BOOST_TEST(lowest < 13.1);
    for (int i = 0; i < 200; ++i)
        BOOST_TEST(rankOf(milliseconds(4300)) >= 13.75);
}

BOOST_AUTO_TEST_CASE(ThenRetryAfterLeavesTimeForTheTargetLatency)
{
    for (int i = 0; i < 100; ++i) {
        const auto wait = retry.retryAfterForTarget(milliseconds(1500));
        BOOST_TEST((wait >= milliseconds(450)));
        BOOST_TEST((wait <= milliseconds(750)));
    }
}

BOOST_AUTO_TEST_SUITE_END()

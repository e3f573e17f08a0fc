// libraries: testfleet
#include "Fleet.h"
#include "core/Core.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <future>
#include <mutex>
#include <set>

using namespace Vanillaridge;

namespace {

uint64_t requestsWithKey(Fleet& fleet)
{
    uint64_t count = 0;
    for (size_t i = 0; i < fleet.size(); ++i) {
        const auto log = fleet.node(i).serverLog();
        if (const auto* found = log.if_contains("requestsWithKey"))
            count += found->to_number<uint64_t>();
    }
    return count;
}

std::string textOf(const std::map<std::string, int>& counts)
{
    std::string text;
    for (const auto& [name, count] : counts)
        text += fmt::format("{} {}, ", name.empty() ? "none" : name, count);
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(GivenAChainOfServicesSevenDeep)

BOOST_AUTO_TEST_CASE(ThenOneRequestRunsOnceAtEachAndNoneSeesTheKey)
{
    constexpr size_t depth = 7;
    std::vector<std::string> services;
    for (size_t i = 1; i <= depth; ++i)
        services.push_back("s" + std::to_string(i));
    Fleet fleet;
    for (size_t i = 0; i < depth; ++i) {
        NodeOptions options { i % 2 ? "b" : "a", services[i], {}, 16 };
        if (i + 1 < depth)
            options.serverArguments = { "--call", "GET /" + services[i + 1] + "/read/deep" };
        fleet.add(std::move(options));
    }
    BOOST_REQUIRE(fleet.start(testManifest(services)));
    BOOST_REQUIRE(warm(fleet.node(0), services.back()));

    // 1. Through the whole chain.
    const HttpCall call { "GET", "/s1/read/whole-chain", withKey(), {} };
    const auto answer = callHttp(fleet.node(3).callers(), call);
    BOOST_TEST(answer.status == 200u);
    const auto begun = begunByTarget(fleet);
    BOOST_TEST(begun.at("/s1/read/whole-chain") == 1);
    for (size_t i = 2; i <= depth; ++i)
        BOOST_TEST(begun.at(fmt::format("/s{}/read/deep", i)) == 1);

    // 2. Nobody saw the key, in whatever place.
    BOOST_TEST(requestsWithKey(fleet) == 0u);
    for (size_t i = 0; i < depth; ++i)
        BOOST_TEST(serialize(fleet.node(i).serverLog()).find(testKey("north")) == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenTwoServersOfAService)

struct TwoServers {
    TwoServers()
    {
        fleet.add({ "a", "ledger", {}, 16 });
        fleet.add({ "b", "ledger", {}, 16 });
        fleet.add({ "a", "", {}, 16 });
        BOOST_REQUIRE(fleet.start(testManifest({ "ledger" })));
        BOOST_REQUIRE(warm(entry(), "ledger"));
    }

    // A node without a backend server, so that entry and guard are different processes.
    FleetNode& entry() { return fleet.node(2); }

    Fleet fleet;
};

BOOST_FIXTURE_TEST_SUITE(WhenCallersSendWhatTheyShouldNot, TwoServers)

BOOST_AUTO_TEST_CASE(ThenEachIsToldWhatIsWrong)
{
    const auto reasonOf = [&](const HttpCall& call) { return callHttp(entry().callers(), call).reason(); };
    BOOST_TEST(reasonOf({ "GET", "/ledger/read/1", {}, {} }) == "missing-key");
    BOOST_TEST(reasonOf({ "GET", "/ledger/read/1", { { "Authorization", "Bearer wrong" } }, {} }) == "unknown-key");
    BOOST_TEST(reasonOf({ "GET", "/nowhere", withKey(), {} }) == "no-route");
    BOOST_TEST(reasonOf({ "GET", "/ledger/read/" + testKey("north"), withKey(), {} }) == "bad-request");
    BOOST_TEST(callHttp(entry().callers(), { "GET", "/ledger/open/1", {}, {} }).status == 200u);

    const auto answerTo = [&](const std::string& bytes) {
        return HttpConnection(entry().callers()).exchangeRaw(bytes, std::chrono::seconds(10));
    };
    BOOST_TEST(answerTo("this is no request\r\n\r\n").find("bad-request") != std::string::npos);
    const auto huge = "GET / HTTP/1.1\r\nX: " + std::string(100'000, 'x') + "\r\n\r\n";
    BOOST_TEST(answerTo(huge).find("head-too-large") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ThenPipelinedRequestsAreAnsweredInTurn)
{
    const std::string one = "GET /ledger/open/1 HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::string last = "GET /ledger/open/2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    const auto answers = HttpConnection(entry().callers()).exchangeRaw(one + last, std::chrono::seconds(10));
    const auto first = answers.find("/ledger/open/1");
    BOOST_TEST(first != std::string::npos);
    BOOST_TEST(answers.find("/ledger/open/2", first) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenAKeyIsWithdrawn, TwoServers)

BOOST_AUTO_TEST_CASE(ThenItStopsWorkingOnConnectionsThatAreOpen)
{
    HttpConnection connection(entry().callers());
    BOOST_REQUIRE(connection.call(readCall("ledger")).status == 200u);
    auto manifest = testManifest({ "ledger" });
    const auto digest = toHex(digestOfKey(testKey("north")));
    manifest.replace(manifest.find(digest), digest.size(), toHex(digestOfKey("another key")));
    BOOST_REQUIRE(fleet.apply(manifest));
    BOOST_TEST(eventually(
        [&] { return connection.call(readCall("ledger")).reason() == "unknown-key"; }, std::chrono::seconds(13)));
    BOOST_TEST(connection.call(readCall("ledger", "south")).status == 200u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenANodeDiesOrFreezes, TwoServers)

BOOST_AUTO_TEST_CASE(ThenWritesRunAtMostOnceAndRefusalsTellTheTruth)
{
    // 1. Writes go on while one guard is frozen, and then killed.
    std::map<std::string, HttpAnswer> answers;
    const auto send = [&](int from, int to) {
        for (int i = from; i < to; ++i) {
            const auto name = std::to_string(i);
            answers["/ledger/write/" + name] = callHttp(entry().callers(), writeCall("ledger", name));
        }
    };
    send(0, 20);
    fleet.node(1).process().signal(SIGSTOP);
    send(20, 30);
    fleet.node(1).process().signal(SIGCONT);
    send(30, 40);
    fleet.node(1).kill();
    send(40, 60);

    // 2. What was told, against what ran.
    const auto begun = begunByTarget(fleet);
    size_t served = 0;
    std::map<std::string, int> refusals;
    for (const auto& [target, answer] : answers) {
        const auto found = begun.find(target);
        const int count = found == begun.end() ? 0 : found->second;
        BOOST_TEST(count <= 1, target << " ran " << count << " times");
        if (answer.status == 200)
            BOOST_TEST(count == 1);
        if (answer.outcome() == "not-run")
            BOOST_TEST(count == 0, target << " was refused as " << answer.reason());
        BOOST_TEST(answer.status != 0u);
        served += answer.status == 200;
        ++refusals[answer.reason()];
    }
    BOOST_TEST(served >= 50u, "served " << served << " of 60; refused: " << textOf(refusals));
}

BOOST_AUTO_TEST_CASE(ThenReadsAreServedByTheOther)
{
    fleet.node(0).process().signal(SIGSTOP);
    BOOST_TEST(eventually([&] {
        for (int i = 0; i < 10; ++i) {
            if (callHttp(entry().callers(), readCall("ledger")).status != 200)
                return false;
        }
        return true;
    }));
    fleet.node(0).process().signal(SIGCONT);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenABackendServerWithdraws, TwoServers)

BOOST_AUTO_TEST_CASE(ThenItGetsNoNewWorkAndCallersNotice)
{
    fleet.node(0).serverProcess().signal(SIGTERM);
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(callHttp(entry().callers(), readCall("ledger")).status == 200u);
    BOOST_TEST(fleet.node(0).serverProcess().awaitEnd(std::chrono::seconds(20)).value_or(-1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenANodeIsAskedToStopUnderLoad, TwoServers)

BOOST_AUTO_TEST_CASE(ThenNoRequestIsCut)
{
    std::atomic<bool> stop { false };
    std::atomic<int> good { 0 };
    std::mutex lock;
    std::map<std::string, int> refusals;
    std::vector<std::future<void>> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(std::async(std::launch::async, [&] {
            const HttpCall call { "GET", "/ledger/read/1?milliseconds=20", withKey(), {} };
            while (!stop) {
                const auto answer = callHttp(entry().callers(), call);
                if (answer.status == 200) {
                    ++good;
                    continue;
                }
                std::lock_guard guard(lock);
                ++refusals[answer.reason()];
            }
        }));
    }
    BOOST_TEST(eventually([&] { return good > 50; }));
    fleet.node(0).process().signal(SIGTERM);
    BOOST_TEST(fleet.node(0).process().awaitEnd(std::chrono::seconds(30)).value_or(-1) == 0);
    const int atStop = good;
    BOOST_TEST(eventually([&] { return good > atStop + 50; }));
    stop = true;
    for (auto& caller : callers)
        caller.get();
    BOOST_TEST(refusals.empty(), textOf(refusals));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenTheStoreFails, TwoServers)

BOOST_AUTO_TEST_CASE(ThenRequestsAreServedOnAndANewNodeLearnsFromItsPeers)
{
    fleet.storeFault(R"({"down":"refuse"})");
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(callHttp(entry().callers(), readCall("ledger")).status == 200u);
    fleet.node(1).kill();
    fleet.node(1).start();
    BOOST_TEST(eventually([&] { return fleet.node(1).metric("vanillaridge_configuration_number") > 0; }));
}

BOOST_AUTO_TEST_CASE(ThenLostAnswersOfTheNodesOwnWritesHoldNothingUp)
{
    fleet.storeFault(R"({"loseAnswers":true})");
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(callHttp(entry().callers(), readCall("ledger")).status == 200u);
    fleet.node(0).kill();
    fleet.node(0).start();
    BOOST_TEST(eventually([&] { return fleet.node(0).ready(); }));
    fleet.storeFault("{}");
    BOOST_TEST(warm(entry(), "ledger"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenABodyIsLargerThanWhatANodeHolds, TwoServers)

BOOST_AUTO_TEST_CASE(ThenItIsStreamedWhole)
{
    const std::string body(size_t(48) << 20, 'p');
    const auto answer = callHttp(entry().callers(), { "POST", "/ledger/read/photos", withKey(), body });
    BOOST_TEST(answer.status == 200u);
    BOOST_TEST(answer.body.find(fmt::format("\"bodyLength\":{}", body.size())) != std::string::npos);
    const auto large = callHttp(entry().callers(), { "GET", "/ledger/read/1?size=20000000", withKey(), {} });
    BOOST_TEST(large.status == 200u);
    BOOST_TEST(large.body.size() == 20'000'000u);
    const auto cut = callHttp(entry().callers(), { "GET", "/ledger/read/1?size=2000000&mode=cut", withKey(), {} });
    BOOST_TEST((cut.status == 502u || cut.cutShort));
}

BOOST_AUTO_TEST_CASE(ThenACallerThatReadsLateGetsItWholeAndNoNodeHoldsIt)
{
    // The memory that a node may use for control at the design size; a body that it held would exceed it.
    constexpr size_t memoryLimit = 32 << 20;
    constexpr size_t size = 48'000'000;
    const HttpCall call { "GET", "/ledger/read/1?size=" + std::to_string(size), withKey(), {} };
    HttpConnection late(entry().callers());
    late.send(call);
    // Meanwhile the same nodes serve others.
    for (int i = 0; i < 200; ++i)
        BOOST_TEST(callHttp(entry().callers(), readCall("ledger")).status == 200u);
    const auto answer = late.receive(call);
    BOOST_TEST(answer.status == 200u);
    BOOST_TEST(!answer.cutShort);
    BOOST_TEST(answer.body.size() == size);
    for (size_t i = 0; i < fleet.size(); ++i)
        BOOST_TEST(fleet.node(i).process().peakMemory() < memoryLimit);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

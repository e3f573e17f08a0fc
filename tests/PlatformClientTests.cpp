// libraries: platformclient
#include "platformclient/CallGate.h"
#include "platformclient/PlatformClient.h"
#include "stand-ins/PlatformStandIn.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <future>
#include <rapidcheck.h>
#include <thread>
#include <unistd.h>

using namespace Vanillaridge;

namespace {

constexpr auto longestWait = std::chrono::seconds(20);

// A stand-in platform on a free port and a client of it, on two threads.
struct Wired {
    Wired()
        : work(context.get_executor())
        , platform(std::make_shared<StandIns::PlatformStandIn>(context))
    {
        platform->listen(StandIns::endpointFromText("127.0.0.1:0"));
        settings.url = "http://127.0.0.1:" + std::to_string(platform->port());
        settings.callsPerSecond = 1000;
        settings.callBurst = 1000;
        settings.timeout = seconds(5);
        for (auto& thread : threads)
            thread = std::thread([this] { context.run(); });
        renewClient();
    }
    ~Wired()
    {
        context.stop();
        for (auto& thread : threads)
            thread.join();
    }

    // A client without back-off, and with the settings as they are now.
    void renewClient() { client = std::make_unique<HttpPlatform>(context, settings, clock, *random, counters); }

    // Waits for the outcome of one call.
    template <typename Value, typename Call> PlatformResult<Value> outcomeOf(Call call)
    {
        auto promise = std::make_shared<std::promise<PlatformResult<Value>>>();
        auto future = promise->get_future();
        call([promise](PlatformResult<Value> result) { promise->set_value(std::move(result)); });
        BOOST_REQUIRE(future.wait_for(longestWait) == std::future_status::ready);
        return future.get();
    }

    PlatformResult<StoredObject> get(std::string_view name)
    {
        return outcomeOf<StoredObject>([&](auto done) { client->get(name, done); });
    }
    PlatformResult<uint64_t> put(std::string_view name, std::string_view value, uint64_t expected)
    {
        return outcomeOf<uint64_t>([&](auto done) { client->put(name, value, expected, done); });
    }
    PlatformResult<uint64_t> remove(std::string_view name, uint64_t expected)
    {
        return outcomeOf<uint64_t>([&](auto done) { client->remove(name, expected, done); });
    }

    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::shared_ptr<StandIns::PlatformStandIn> platform;
    PlatformSettings settings;
    ManualClock clock;
    std::unique_ptr<RandomSource> random = makeSeededRandom(1);
    Counters counters;
    std::unique_ptr<HttpPlatform> client;
    std::array<std::thread, 2> threads;
};

// The error of a result that should have one.
template <typename Value> std::string_view errorOf(const PlatformResult<Value>& result)
{
    return result ? "none" : toText(result.error());
}

} // namespace

BOOST_AUTO_TEST_SUITE(GivenAPlatform)

BOOST_FIXTURE_TEST_SUITE(WhenItIsWell, Wired)

BOOST_AUTO_TEST_CASE(ThenObjectsAreWrittenReadListedAndRemoved)
{
    const auto first = put("slots/1", "one", absentVersion);
    BOOST_REQUIRE(first);
    const auto second = put("slots/1", "two", first.value());
    BOOST_REQUIRE(second);
    BOOST_TEST(second.value() > first.value());
    BOOST_TEST(get("slots/1").value().value == "two");
    BOOST_TEST(put("slots/2", "", absentVersion).value() > 0u);
    const auto listed = outcomeOf<std::vector<StoredObject>>([&](auto done) { client->list("slots/", done); });
    BOOST_REQUIRE(listed);
    BOOST_TEST(listed.value().size() == 2u);
    BOOST_TEST(listed.value()[0].value == "two");
    BOOST_TEST(bool(remove("slots/1", second.value())));
    BOOST_TEST(errorOf(get("slots/1")) == "not-found");
}

BOOST_AUTO_TEST_CASE(ThenARaceHasOneWinner)
{
    const auto version = put("manifest", "old", absentVersion).value();
    BOOST_TEST(bool(put("manifest", "mine", version)));
    BOOST_TEST(errorOf(put("manifest", "theirs", version)) == "conflict");
    BOOST_TEST(errorOf(put("manifest", "first", absentVersion)) == "conflict");
    BOOST_TEST(errorOf(remove("manifest", version)) == "conflict");
    BOOST_TEST(get("manifest").value().value == "mine");
    BOOST_TEST(counters.value(Counter::PlatformConflicts) == 3u);
}

BOOST_AUTO_TEST_CASE(ThenAWatchEndsWithTheChangeOrWithItsPatience)
{
    const auto version = put("manifest", "old", absentVersion).value();
    const auto unchanged
        = outcomeOf<StoredObject>([&](auto done) { client->watch("manifest", version, milliseconds(20), done); });
    BOOST_TEST(unchanged.value().value == "old");
    const auto changed = outcomeOf<StoredObject>([&](auto done) {
        client->watch("manifest", version, seconds(10), done);
        put("manifest", "new", version);
    });
    BOOST_TEST(changed.value().value == "new");
}

BOOST_AUTO_TEST_CASE(ThenAnyBytesComeBackAsTheyWere)
{
    uint64_t version = absentVersion;
    BOOST_TEST(rc::check("values survive", [&] {
        const auto value = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        const auto written = put("bytes", value, version);
        RC_ASSERT(bool(written));
        version = written.value();
        RC_ASSERT(get("bytes").value().value == value);
    }));
}

BOOST_AUTO_TEST_CASE(ThenANameThatIsNoneIsRefusedHere)
{
    BOOST_TEST(errorOf(get("a b?c")) == "malformed");
    BOOST_TEST(counters.value(Counter::PlatformCalls) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenItIsInTrouble, Wired)

BOOST_AUTO_TEST_CASE(ThenALostAnswerIsToldAsSuchAndItsEffectCanBeReadBack)
{
    StandIns::PlatformFaults faults;
    faults.loseAnswers = true;
    platform->setFaults(faults);
    BOOST_TEST(errorOf(put("manifest", "mine", absentVersion)) == "answer-lost");
    platform->setFaults({});
    renewClient();
    BOOST_TEST(get("manifest").value().value == "mine");
    BOOST_TEST(counters.value(Counter::PlatformFailures) == 1u);
}

BOOST_AUTO_TEST_CASE(ThenAPlatformThatHangsIsGivenUpAndTheNextConnectionIsFresh)
{
    settings.timeout = milliseconds(100);
    renewClient();
    StandIns::PlatformFaults faults;
    faults.down = "hang";
    platform->setFaults(faults);
    BOOST_TEST(errorOf(get("manifest")) == "unreachable");
    renewClient();
    BOOST_TEST(errorOf(put("manifest", "mine", absentVersion)) == "answer-lost");
    platform->setFaults({});
    settings.timeout = seconds(5);
    renewClient();
    BOOST_TEST(errorOf(get("manifest")) == "not-found");
}

BOOST_AUTO_TEST_CASE(ThenAWatchThatIsCutSilentlyEndsAllTheSame)
{
    const auto version = put("manifest", "old", absentVersion).value();
    settings.timeout = milliseconds(50);
    renewClient();
    StandIns::PlatformFaults faults;
    faults.silentWatches = true;
    platform->setFaults(faults);
    const auto watched
        = outcomeOf<StoredObject>([&](auto done) { client->watch("manifest", version, milliseconds(50), done); });
    BOOST_TEST(errorOf(watched) == "unreachable");
}

BOOST_AUTO_TEST_CASE(ThenARefusedChangeHadNoEffectAndADroppedOneMayHave)
{
    StandIns::PlatformFaults faults;
    faults.down = "unavailable";
    platform->setFaults(faults);
    BOOST_TEST(errorOf(put("manifest", "mine", absentVersion)) == "unreachable");
    renewClient();
    faults.down = "refuse";
    platform->setFaults(faults);
    BOOST_TEST(errorOf(put("manifest", "mine", absentVersion)) == "answer-lost");
    settings.url = "http://127.0.0.1:1";
    renewClient();
    BOOST_TEST(errorOf(put("manifest", "mine", absentVersion)) == "unreachable");
}

BOOST_AUTO_TEST_CASE(ThenFurtherCallsBackOffWithoutReachingIt)
{
    StandIns::PlatformFaults faults;
    faults.down = "unavailable";
    platform->setFaults(faults);
    get("manifest");
    platform->setFaults({});
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(errorOf(get("manifest")) == "unreachable");
    BOOST_TEST(platform->calls()["get"] == 1u);
    clock.advance(seconds(1));
    BOOST_TEST(errorOf(get("manifest")) == "not-found");
    BOOST_TEST(counters.value(Counter::PlatformCalls) == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenCallsExceedTheNodesOwnLimit, Wired)

BOOST_AUTO_TEST_CASE(ThenTheyAreNotMade)
{
    settings.callsPerSecond = 1;
    settings.callBurst = 3;
    renewClient();
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(errorOf(get("manifest")) == "not-found");
    BOOST_TEST(errorOf(get("manifest")) == "too-many-calls");
    BOOST_TEST(platform->calls()["get"] == 3u);
    clock.advance(seconds(1));
    BOOST_TEST(errorOf(get("manifest")) == "not-found");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenFailuresFollowEachOther)

BOOST_AUTO_TEST_CASE(ThenTheBackOffGrowsAndStaysBounded)
{
    ManualClock clock;
    const auto random = makeSeededRandom(7);
    CallGate gate(1000, 1000, clock, *random);
    for (int i = 0; i < 20; ++i)
        gate.failed();
    clock.advance(milliseconds(900));
    BOOST_TEST((gate.ask() == CallGate::Answer::BackingOff));
    clock.advance(milliseconds(2200));
    BOOST_TEST((gate.ask() == CallGate::Answer::Go));
    gate.succeeded();
    gate.failed();
    clock.advance(milliseconds(151));
    BOOST_TEST((gate.ask() == CallGate::Answer::Go));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenAManifestFileInPlaceOfAPlatform)

BOOST_FIXTURE_TEST_CASE(ThenItIsAnObjectWhoseVersionGrowsWithItsContent, Wired)
{
    const auto file = std::filesystem::temp_directory_path() / ("manifest-" + std::to_string(getpid()));
    std::ofstream(file) << "one";
    FilePlatform local(context, file.string());
    const auto read = [&] { return outcomeOf<StoredObject>([&](auto done) { local.get(manifestObject, done); }); };
    const auto first = read();
    BOOST_TEST(first.value().value == "one");
    BOOST_TEST(read().value().version == first.value().version);
    std::ofstream(file) << "two";
    const auto watched = outcomeOf<StoredObject>(
        [&](auto done) { local.watch(manifestObject, first.value().version, seconds(10), done); });
    BOOST_TEST(watched.value().value == "two");
    const auto kept = outcomeOf<uint64_t>([&](auto done) { local.put("slots/1", "mine", absentVersion, done); });
    BOOST_TEST(bool(kept));
    const auto again = outcomeOf<uint64_t>([&](auto done) { local.put("slots/1", "yours", absentVersion, done); });
    BOOST_TEST(errorOf(again) == "conflict");
    std::filesystem::remove(file);
    BOOST_TEST(read().value().value == "two");
}

BOOST_AUTO_TEST_SUITE_END()

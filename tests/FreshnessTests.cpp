// libraries: freshness membership announcement
#include "FakeFleet.h"
#include "announcement/Announcement.h"
#include "freshness/Freshness.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Vanillaridge;

namespace {

constexpr uint64_t seed = 20260401;
constexpr Duration minute = std::chrono::minutes(1);
constexpr size_t fleetSize = 20;

ConfigurationPointer numbered(uint64_t number)
{
    return std::make_shared<const Configuration>(number, Declarations {});
}

// A fleet with a configuration in force, whose first two members confirm it as long as the store is up for them.
struct Story {
    Story()
        : fleet(seed)
    {
        fleet.onStart = [this](FakeMember& member) {
            freshness[member.board.self().endpoint]
                = std::make_unique<Freshness>(member.board, fleet.clock, FreshnessSettings());
            member.board.configuration().adopt(numbered(1));
        };
        fleet.onTick = [this](FakeMember& member) {
            if (confirms(member))
                member.board.configuration().updateFreshness([&](FreshnessRecord& record) {
                    record.newestNumber = std::max<uint64_t>(record.newestNumber, 1);
                    record.confirmedAt = fleet.clock.now();
                });
            of(member).tick();
        };
        fleet.startAll(fleetSize);
        fleet.run(seconds(30));
    }

    bool confirms(const FakeMember& member) const
    {
        const auto& endpoint = member.board.self().endpoint;
        return storeUp && (endpoint == FakeFleet::endpointOf(0) || endpoint == FakeFleet::endpointOf(1));
    }

    Freshness& of(FakeMember& member) { return *freshness.at(member.board.self().endpoint); }
    bool serves(size_t index) { return of(fleet.at(index)).mayServeKeyed(); }

    size_t serving()
    {
        size_t count = 0;
        fleet.forEach([&](FakeMember& member) { count += of(member).mayServeKeyed() ? 1 : 0; });
        return count;
    }

    // Cuts the first members from the others, in both directions.
    void cutOff(size_t from, size_t to)
    {
        std::set<Endpoint> part;
        for (size_t i = from; i < to; ++i)
            part.insert(FakeFleet::endpointOf(i));
        fleet.cut
            = [part](const Endpoint& one, const Endpoint& other) { return part.contains(one) != part.contains(other); };
    }

    bool storeUp = true;
    std::map<Endpoint, std::unique_ptr<Freshness>> freshness;
    FakeFleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GivenAFleetThatConfirmsItsConfiguration, Story)

BOOST_AUTO_TEST_CASE(ThenAllMembersServe) { BOOST_TEST(serving() == fleetSize); }

BOOST_AUTO_TEST_SUITE(WhenTheStoreIsDownForEverybody)

BOOST_AUTO_TEST_CASE(ThenAllServeOn)
{
    storeUp = false;
    for (int i = 0; i < 60; ++i) {
        fleet.run(seconds(10));
        BOOST_TEST(serving() == fleetSize);
    }
}

BOOST_AUTO_TEST_CASE(ThenAFreshMemberServesOnceItHasHeardTheOthers)
{
    storeUp = false;
    fleet.run(minute);
    fleet.start(fleetSize);
    BOOST_TEST(!serves(fleetSize));
    BOOST_TEST(fleet.runUntil(seconds(10), [&] { return serves(fleetSize); }).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAMemberComesBackFromAPause)

BOOST_AUTO_TEST_CASE(ThenItRefusesFromTheFirstRequestUntilItIsConfirmed)
{
    fleet.freeze(7);
    fleet.run(minute);
    // Before anything else runs on it.
    BOOST_TEST(!serves(7));
    fleet.thaw(7);
    BOOST_TEST(!serves(7));
    of(fleet.at(7)).tick();
    BOOST_TEST(!serves(7));
    BOOST_TEST(fleet.runUntil(seconds(10), [&] { return serves(7); }).has_value());
}

BOOST_AUTO_TEST_CASE(ThenMessagesThatWaitedInItsBufferConfirmNothing)
{
    fleet.freeze(7);
    fleet.run(minute);
    // It is cut off while it was away, so that only the buffered messages reach it.
    cutOff(7, 8);
    fleet.thaw(7);
    BOOST_TEST(!fleet.runUntil(minute, [&] { return serves(7); }).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenMembersAreCutOff)

BOOST_AUTO_TEST_CASE(ThenALoneOneRefusesWithinSecondsAndServesAgainAfterwards)
{
    cutOff(7, 8);
    BOOST_TEST(fleet.runUntil(seconds(15), [&] { return !serves(7); }).has_value());
    BOOST_TEST(!fleet.runUntil(20 * minute, [&] { return serves(7); }).has_value());
    BOOST_TEST(serving() == fleetSize - 1);
    fleet.cut = nullptr;
    BOOST_TEST(fleet.runUntil(minute, [&] { return serving() == fleetSize; }).has_value());
}

BOOST_AUTO_TEST_CASE(ThenAMinorityRefusesAndTheRestServesOn)
{
    cutOff(14, 20);
    BOOST_TEST(fleet.runUntil(seconds(30), [&] { return serving() == 14; }).has_value());
    // It stays so when the minority has long held the others for dead.
    for (int i = 0; i < 20; ++i) {
        fleet.run(minute);
        BOOST_TEST(serving() == 14u);
    }
}

BOOST_AUTO_TEST_CASE(ThenOneThatHearsAndIsNotHeardRefusesToo)
{
    const auto mute = FakeFleet::endpointOf(7);
    fleet.cut = [mute](const Endpoint& from, const Endpoint&) { return from == mute; };
    BOOST_TEST(fleet.runUntil(seconds(15), [&] { return !serves(7); }).has_value());
}

BOOST_AUTO_TEST_CASE(ThenAMinorityThatReachesTheStoreServesOn)
{
    cutOff(0, 4);
    fleet.run(2 * minute);
    for (size_t i = 0; i < 4; ++i)
        BOOST_TEST(serves(i));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenANewerConfigurationIsKnownAndDoesNotArrive)

BOOST_AUTO_TEST_CASE(ThenTheMemberRefusesAfterAWhile)
{
    const auto begun = fleet.clock.now();
    fleet.at(7).board.configuration().updateFreshness([&](FreshnessRecord& record) { record.behindSince = begun; });
    fleet.run(seconds(5));
    BOOST_TEST(serves(7));
    fleet.run(seconds(5));
    BOOST_TEST(!serves(7));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItsTicksStop)

BOOST_AUTO_TEST_CASE(ThenNothingIsServedWhateverWasDecidedBefore)
{
    BOOST_TEST(serves(3));
    fleet.clock.advance(seconds(3));
    BOOST_TEST(!serves(3));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenBackendServersBesideANode)

struct Servers {
    ManualClock clock;
    Board board { { "10.0.0.0:7000", "zone-0", { 1 }, { 1 } } };
    LocalServers servers { board, clock };

    std::optional<LocalServerRecord> record()
    {
        std::optional<LocalServerRecord> found;
        board.localServers().visit("ledger", [&](const LocalServerRecord& record) { found = record; });
        return found;
    }
};

BOOST_FIXTURE_TEST_CASE(ThenAnAnnouncementLapsesUnlessItIsRenewed, Servers)
{
    servers.announce("ledger", "127.0.0.1:9000", 8, seconds(10));
    clock.advance(seconds(8));
    BOOST_TEST(servers.renew("ledger"));
    clock.advance(seconds(8));
    BOOST_TEST(servers.expire().empty());
    clock.advance(seconds(8));
    BOOST_TEST(servers.expire().size() == 1u);
    BOOST_TEST(!servers.renew("ledger"));
}

BOOST_FIXTURE_TEST_CASE(ThenADrainIsNotUndoneByRenewing, Servers)
{
    servers.announce("ledger", "127.0.0.1:9000", 8, seconds(10));
    BOOST_TEST(servers.drain("ledger"));
    servers.announce("ledger", "127.0.0.1:9000", 8, seconds(10));
    BOOST_TEST(record()->announcement.draining);
}

BOOST_FIXTURE_TEST_CASE(ThenAnAnnouncementAfterAWithdrawalHasAGreaterGeneration, Servers)
{
    servers.announce("ledger", "127.0.0.1:9000", 8, seconds(10));
    const auto before = record()->announcement.generation;
    BOOST_TEST(servers.withdraw("ledger"));
    BOOST_TEST(!record().has_value());
    servers.announce("ledger", "127.0.0.1:9000", 8, seconds(10));
    BOOST_TEST(record()->announcement.generation > before);
    BOOST_TEST(!record()->announcement.draining);
}

BOOST_AUTO_TEST_SUITE(WhenOneLeavesAndItsNodeStartsAgain)

struct Restarted : Servers {
    static ServerNews news(ServerNews::Kind kind, uint64_t life, uint64_t sequence)
    {
        return { .kind = kind,
            .service = "ledger",
            .instance = "i-1",
            .endpoint = "127.0.0.1:9000",
            .slots = 8,
            .term = seconds(10),
            .life = life,
            .sequence = sequence };
    }

    // A new process, which knows what the directory has recalled.
    Board nextBoard { { "10.0.0.0:7000", "zone-0", { 1 }, { 2 } } };
    LocalServers next { nextBoard, clock };

    void restart()
    {
        board.departures().forEach([&](uint64_t server, const DepartureRecord& departure) {
            nextBoard.departures().update(server, [&](DepartureRecord& record) { record = departure; });
        });
    }

    bool isInUse()
    {
        bool inUse = false;
        nextBoard.localServers().visit(
            "ledger", [&](const LocalServerRecord& record) { inUse = !record.announcement.draining; });
        return inUse;
    }
};

// Guards against a late heartbeat that brings a server back after its farewell was acknowledged.
BOOST_FIXTURE_TEST_CASE(ThenWhatItSaidBeforeDoesNotBringItBack, Restarted)
{
    using enum ServerNews::Kind;
    for (const auto farewell : { Drain, Withdraw }) {
        BOOST_TEST_CONTEXT((farewell == Drain ? "a drain" : "a withdrawal"))
        {
            servers.take(news(Announce, 100, 1));
            servers.take(news(farewell, 100, 3));
            restart();
            BOOST_TEST((next.take(news(Announce, 100, 2)) == NewsOutcome::Outdated));
            BOOST_TEST(!isInUse());
        }
    }
}

BOOST_FIXTURE_TEST_CASE(ThenAFarewellToAProcessThatDidNotKnowItCountsToo, Restarted)
{
    auto farewell = news(ServerNews::Kind::Withdraw, 100, 0);
    farewell.service.clear();
    servers.take(farewell);
    restart();
    BOOST_TEST((next.take(news(ServerNews::Kind::Announce, 100, 2)) == NewsOutcome::Outdated));
    BOOST_TEST((servers.take(news(ServerNews::Kind::Announce, 100, 2)) == NewsOutcome::Outdated));
    BOOST_TEST(!isInUse());
}

// Guards against a late heartbeat after a farewell that does not say which life it ends.
BOOST_FIXTURE_TEST_CASE(ThenAFarewellWithoutALifeCountsToo, Restarted)
{
    constexpr uint64_t lateSequence = 20;
    auto farewell = news(ServerNews::Kind::Withdraw, 0, 0);
    farewell.service.clear();
    BOOST_TEST(LocalServers::isDeparture(farewell));
    servers.take(farewell);
    restart();
    for (auto* process : { &servers, &next })
        BOOST_TEST((process->take(news(ServerNews::Kind::Announce, 100, lateSequence)) == NewsOutcome::Outdated));
    BOOST_TEST(!isInUse());
    BOOST_TEST((next.take(news(ServerNews::Kind::Announce, 101, 1)) == NewsOutcome::Changed));
    BOOST_TEST(next.dropDeparted().empty());
    BOOST_TEST(isInUse());
}

BOOST_FIXTURE_TEST_CASE(ThenAFarewellWithoutALifeEndsTheOneThatIsKnown, Restarted)
{
    auto farewell = news(ServerNews::Kind::Withdraw, 0, 0);
    farewell.service.clear();
    servers.take(news(ServerNews::Kind::Announce, 100, 1));
    servers.take(farewell);
    restart();
    clock.advance(minute);
    BOOST_TEST((next.take(news(ServerNews::Kind::Announce, 100, 2)) == NewsOutcome::Outdated));
    BOOST_TEST((next.take(news(ServerNews::Kind::Announce, 101, 2)) == NewsOutcome::Changed));
}

BOOST_FIXTURE_TEST_CASE(ThenOneThatKeepsSpeakingIsTakenUpInTheEnd, Restarted)
{
    servers.take(news(ServerNews::Kind::Withdraw, 0, 0));
    restart();
    clock.advance(minute);
    BOOST_TEST((next.take(news(ServerNews::Kind::Announce, 101, 5)) == NewsOutcome::Changed));
}

BOOST_FIXTURE_TEST_CASE(ThenItsNextLifeIsTakenUp, Restarted)
{
    servers.take(news(ServerNews::Kind::Announce, 100, 1));
    servers.take(news(ServerNews::Kind::Withdraw, 100, 0));
    restart();
    BOOST_TEST((next.take(news(ServerNews::Kind::Announce, 101, 1)) == NewsOutcome::Changed));
    BOOST_TEST(isInUse());
}

BOOST_FIXTURE_TEST_CASE(ThenOneThatWasTakenUpBeforeTheDeparturesWereKnownIsDropped, Restarted)
{
    servers.take(news(ServerNews::Kind::Withdraw, 100, 0));
    next.take(news(ServerNews::Kind::Announce, 100, 2));
    BOOST_TEST(isInUse());
    BOOST_TEST(next.dropDeparted().empty());
    restart();
    BOOST_TEST(next.dropDeparted().size() == 1u);
    BOOST_TEST(!isInUse());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

// libraries: placement
#include "placement/Placement.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Vanillaridge;

namespace {

constexpr Duration slowStart = seconds(10);

// A node in zone-0, and servers of one service in the given number of zones.
struct Entry {
    explicit Entry(uint32_t servers = 4, uint32_t zones = 1, EdgeShedding shedding = EdgeShedding::On,
        PlacementStrategy strategy = PlacementStrategy::TwoChoices)
        : random(makeSeededRandom(7))
        , board({ "127.0.0.1:7000", "zone-0", { 1 }, { 1 } })
        , placement(board, clock, *random, strategy, shedding)
    {
        Declarations declarations;
        declarations.services.push_back({ .name = "history", .slots = 100, .slowStart = slowStart });
        board.configuration().adopt(std::make_shared<const Configuration>(1, std::move(declarations)));
        for (uint32_t i = 0; i < servers; ++i)
            announce(i, "zone-" + std::to_string(i % zones));
        placement.refresh();
        clock.advance(slowStart);
    }

    static NodeId node(uint32_t index) { return { 100 + index }; }

    void announce(uint32_t index, const ZoneName& zone = "zone-0", uint64_t generation = 1, bool draining = false)
    {
        board.members().update(node(index), [&](MemberRecord& member) {
            member.said.endpoint = "127.0.0.1:" + std::to_string(8000 + index);
            member.said.zone = zone;
            member.said.state = MemberState::Alive;
            member.said.servers = { { "history", generation, 100, draining } };
        });
    }

    void setState(uint32_t index, MemberState state)
    {
        board.members().update(node(index), [&](MemberRecord& member) { member.said.state = state; });
        placement.refresh();
    }

    // Sends one request and completes it at once.
    std::optional<NodeId> send(Reason (*answer)(NodeId))
    {
        const auto choice = placement.choose("history", {});
        if (!choice)
            return std::nullopt;
        placement.callStarted(*choice);
        const LoadFeedback feedback { .service = "history", .limit = 100 };
        const auto reason = answer(choice->server.node);
        placement.callCompleted(*choice, { context, {}, reason, reason == Reason::None ? &feedback : nullptr, {} });
        return choice->server.node;
    }

    // Number of the next requests that each server gets.
    std::map<NodeId, int> sendAndCount(int requests, Reason (*answer)(NodeId))
    {
        std::map<NodeId, int> counts;
        for (int i = 0; i < requests; ++i) {
            if (const auto node = send(answer))
                ++counts[*node];
        }
        return counts;
    }

    // Completes a request whose answer reports a shed level.
    void reportShedLevel(double level)
    {
        const auto choice = placement.choose("history", {});
        placement.callStarted(*choice);
        const LoadFeedback feedback { .service = "history", .limit = 100, .shedLevel = level };
        placement.callCompleted(*choice, { context, {}, Reason::None, &feedback, {} });
    }

    // Fraction of the requests of an importance that are shed at entry.
    double shedFraction(Importance importance)
    {
        constexpr int requests = 2000;
        int shed = 0;
        for (int i = 0; i < requests; ++i) {
            auto next = context;
            next.rank = Rank::of(importance);
            next.treeHash = mixHash(uint64_t(i), 3);
            shed += placement.shedAtEntry(next);
        }
        return double(shed) / requests;
    }

    ManualClock clock;
    std::unique_ptr<RandomSource> random;
    Board board;
    Placement placement;
    RequestContext context { {}, "owner", "look-up", "history" };
};

Reason alwaysSucceeds(NodeId) { return Reason::None; }
Reason alwaysUnreachable(NodeId) { return Reason::PeerUnreachable; }
Reason firstServerFails(NodeId node) { return node == Entry::node(0) ? Reason::ConnectionLost : Reason::None; }

} // namespace

BOOST_AUTO_TEST_SUITE(GivenServersOfAService)

BOOST_AUTO_TEST_SUITE(WhenTheyComeAndGo)

BOOST_AUTO_TEST_CASE(ThenALeavingOneIsNotChosenAgain)
{
    for (const auto state : { MemberState::Left, MemberState::Dead, MemberState::Suspect }) {
        Entry entry;
        entry.setState(2, state);
        BOOST_TEST(!entry.sendAndCount(400, alwaysSucceeds).contains(Entry::node(2)));
    }
}

BOOST_AUTO_TEST_CASE(ThenADrainingOneIsNotChosen)
{
    Entry entry;
    entry.announce(1, "zone-0", 1, true);
    entry.placement.refresh();
    BOOST_TEST(!entry.sendAndCount(400, alwaysSucceeds).contains(Entry::node(1)));
}

BOOST_AUTO_TEST_CASE(ThenTheStateOfTheOthersIsKept)
{
    Entry entry;
    const auto choice = entry.placement.choose("history", {});
    entry.placement.callStarted(*choice);
    entry.setState(choice->server.node == Entry::node(0) ? 1 : 0, MemberState::Left);
    uint32_t outstanding = 0;
    entry.board.servers().visit("history", [&](ServerGroup& group) {
        outstanding = group.at(choice->server.node).outstanding;
        BOOST_TEST(group.size() == 3u);
    });
    BOOST_TEST(outstanding == 1u);
}

BOOST_AUTO_TEST_CASE(ThenNoneIsChosenAfterTheLastOneLeft)
{
    Entry entry(1);
    entry.setState(0, MemberState::Left);
    BOOST_TEST(!entry.placement.choose("history", {}));
}

BOOST_AUTO_TEST_CASE(ThenANewOneStartsSlowly)
{
    Entry entry(4);
    entry.announce(3, "zone-0", 2);
    entry.placement.refresh();
    // Requests stay outstanding, so that load per expected slot decides.
    std::map<NodeId, int> counts;
    for (int i = 0; i < 100; ++i) {
        const auto choice = entry.placement.choose("history", {});
        entry.placement.callStarted(*choice);
        ++counts[choice->server.node];
    }
    BOOST_TEST(counts[Entry::node(3)] * 2 < counts[Entry::node(0)]);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenZonesDiffer)

BOOST_AUTO_TEST_CASE(ThenTheOwnZoneIsPreferredWhileItHasRoom)
{
    Entry entry(8, 4);
    // Requests stay outstanding, up to half of the zone's slots.
    for (int i = 0; i < 100; ++i) {
        const auto choice = entry.placement.choose("history", {});
        entry.placement.callStarted(*choice);
        BOOST_TEST((choice->server.node == Entry::node(0) || choice->server.node == Entry::node(4)));
    }
}

BOOST_AUTO_TEST_CASE(ThenOtherZonesGetRequestsWhenItIsBusy)
{
    Entry entry(8, 4);
    std::map<NodeId, int> counts;
    for (int i = 0; i < 600; ++i) {
        const auto choice = entry.placement.choose("history", {});
        entry.placement.callStarted(*choice);
        ++counts[choice->server.node];
    }
    BOOST_TEST(counts.size() == 8u);
    BOOST_TEST(counts[Entry::node(0)] < 120);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAServerFailsWhileItClaimsToBeHealthy)

BOOST_AUTO_TEST_CASE(ThenItIsSetAsideAndTriedAgainLater)
{
    Entry entry;
    entry.sendAndCount(100, firstServerFails);
    BOOST_TEST(!entry.sendAndCount(100, firstServerFails).contains(Entry::node(0)));
    entry.clock.advance(seconds(2));
    BOOST_TEST(entry.sendAndCount(100, firstServerFails)[Entry::node(0)] == 1);
}

BOOST_AUTO_TEST_CASE(ThenOneRequestAtATimeTriesItAgain)
{
    Entry entry;
    entry.sendAndCount(100, firstServerFails);
    entry.clock.advance(seconds(2));
    int trials = 0;
    for (int i = 0; i < 100; ++i) {
        const auto choice = entry.placement.choose("history", {});
        entry.placement.callStarted(*choice);
        trials += choice->server.node == Entry::node(0);
    }
    BOOST_TEST(trials == 1);
}

BOOST_AUTO_TEST_CASE(ThenAtLeastHalfOfAServiceStaysInUse)
{
    BOOST_TEST(rc::check("floor of servers in use", [] {
        const auto servers = *rc::gen::inRange(1U, 12U);
        Entry entry(servers);
        entry.sendAndCount(200, alwaysUnreachable);
        RC_ASSERT(entry.sendAndCount(400, alwaysUnreachable).size() >= (servers + 1) / 2);
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnswersReportAShedLevel)

BOOST_AUTO_TEST_CASE(ThenThoseLessImportantAreShedHere)
{
    Entry entry;
    entry.reportShedLevel(rankCount - 0.5 - double(indexOf(Rank::of(Importance::Normal))));
    BOOST_TEST(entry.shedFraction(Importance::Critical) == 0);
    BOOST_TEST(entry.shedFraction(Importance::High) == 0);
    BOOST_TEST(std::abs(entry.shedFraction(Importance::Normal) - 0.5) < 0.05);
    BOOST_TEST(entry.shedFraction(Importance::Low) > 0.98);
}

BOOST_AUTO_TEST_CASE(ThenTheSameRequestsSurviveEverywhere)
{
    BOOST_TEST(rc::check("consistent survivors", [] {
        Entry first(1);
        Entry second(3);
        const double level = *rc::gen::inRange(0, 1600) / 100.0;
        first.reportShedLevel(level);
        second.reportShedLevel(level);
        for (uint64_t i = 0; i < 200; ++i) {
            auto one = first.context;
            one.depth = 2;
            one.rank = { Importance(i % importanceCount), Importance(i / 7 % importanceCount) };
            one.treeHash = mixHash(i, 5);
            auto other = one;
            RC_ASSERT(first.placement.shedAtEntry(one) == second.placement.shedAtEntry(other));
            RC_ASSERT(one.represents >= 1);
            RC_ASSERT(one.represents <= 100);
        }
    }));
}

BOOST_AUTO_TEST_CASE(ThenOldLevelsFade)
{
    Entry entry;
    entry.reportShedLevel(1.0);
    entry.clock.advance(milliseconds(1500));
    const double fading = entry.shedFraction(Importance::Low);
    BOOST_TEST(fading > 0.4);
    BOOST_TEST(fading < 0.6);
    entry.clock.advance(seconds(1));
    BOOST_TEST(entry.shedFraction(Importance::Low) == 0);
}

BOOST_AUTO_TEST_CASE(ThenSurvivorsStandForThoseShed)
{
    Entry entry;
    entry.reportShedLevel(0.5);
    double represented = 0;
    constexpr int requests = 4000;
    for (int i = 0; i < requests; ++i) {
        auto next = entry.context;
        next.rank = lowestRank;
        next.treeHash = mixHash(uint64_t(i), 9);
        if (!entry.placement.shedAtEntry(next))
            represented += next.represents;
    }
    BOOST_TEST(std::abs(represented / requests - 1) < 0.05);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

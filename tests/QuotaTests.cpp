// libraries: quota
#include "QuotaWorld.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace Vanillaridge;

namespace {

Declarations declare(std::vector<ClientAccount> accounts, std::string strategy = "conserved")
{
    Declarations declarations;
    declarations.accounts = std::move(accounts);
    declarations.policy.quota = std::move(strategy);
    return declarations;
}

QuotaSettings shortTerms()
{
    QuotaSettings settings;
    settings.slots = 16;
    settings.leaseTerm = seconds(20);
    settings.ownerLeaseTerm = seconds(10);
    settings.handoverDelay = seconds(5);
    settings.clockDrift = 0.01;
    return settings;
}

// Sends requests at an even pace to all running nodes in turn.
void drive(QuotaWorld& world, const AccountName& account, double rate, Duration span)
{
    const auto count = static_cast<int>(rate * std::chrono::duration<double>(span).count());
    for (int i = 0; i < count; ++i) {
        world.run(span / count);
        world.request(static_cast<size_t>(i) % world.nodes.size(), account);
    }
}

// Sends many requests at one moment to one node.
void burst(QuotaWorld& world, const AccountName& account, size_t at, int count)
{
    for (int i = 0; i < count; ++i)
        world.request(at, account);
    world.run(milliseconds(300));
}

size_t holderOfMost(const QuotaWorld& world)
{
    size_t most = 0;
    for (size_t i = 1; i < world.nodes.size(); ++i) {
        if (world.nodes[i]->quota->heldSlots().size() > world.nodes[most]->quota->heldSlots().size())
            most = i;
    }
    return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(GivenOneNode)

BOOST_AUTO_TEST_CASE(ThenItHoldsAllSlotsAndServesTheRate)
{
    QuotaWorld world(1, shortTerms(), declare({ { "owner", 10, 20, {} } }), 1);
    world.run(seconds(10));
    BOOST_TEST(world.heldSlots() == 16u);
    drive(world, "owner", 9.5, seconds(20));
    BOOST_TEST(world.histories["owner"].admitted() == world.histories["owner"].arrivals());
    BOOST_TEST(world.histories["owner"].excess(10, 20) <= 0);
}

BOOST_AUTO_TEST_SUITE(WhenARequestDidNotRun)

BOOST_AUTO_TEST_CASE(ThenItsTokenServesAnother)
{
    QuotaWorld world(1, shortTerms(), declare({ { "owner", 1, 3, {} } }), 1);
    world.run(seconds(10));
    auto& quota = *world.nodes[0]->quota;
    QuotaDecision last;
    for (auto decision = quota.take("owner"); decision.answer == QuotaAnswer::Admitted; decision = quota.take("owner"))
        last = decision;
    quota.giveBack("owner", last);
    BOOST_TEST((quota.take("owner").answer == QuotaAnswer::Admitted));
    BOOST_TEST((quota.take("owner").answer == QuotaAnswer::Refused));
}

BOOST_AUTO_TEST_CASE(ThenAnExpiredTokenStaysSpent)
{
    QuotaWorld world(1, shortTerms(), declare({ { "owner", 0.1, 2.3, {} } }), 1);
    world.run(seconds(60));
    auto& quota = *world.nodes[0]->quota;
    QuotaDecision last;
    for (auto decision = quota.take("owner"); decision.answer == QuotaAnswer::Admitted; decision = quota.take("owner"))
        last = decision;
    world.run(seconds(3));
    quota.giveBack("owner", last);
    BOOST_TEST((quota.take("owner").answer == QuotaAnswer::Refused));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheBurstIsSpent)

BOOST_AUTO_TEST_CASE(ThenRetryAfterIsHonest)
{
    QuotaWorld world(1, shortTerms(), declare({ { "owner", 2, 6, {} } }), 1);
    world.nodes[0]->clock.runAt(1);
    world.run(seconds(10));
    auto& quota = *world.nodes[0]->quota;
    while (quota.take("owner").answer == QuotaAnswer::Admitted) { }
    const auto refused = quota.take("owner");
    BOOST_TEST(refused.retryAfter.count() > 0);
    BOOST_TEST((refused.retryAfter <= seconds(2)));
    world.run(refused.retryAfter + milliseconds(1));
    BOOST_TEST((quota.take("owner").answer == QuotaAnswer::Admitted));
}

BOOST_AUTO_TEST_CASE(ThenARefusalSaysThatTheSlotsHaveNoToken)
{
    QuotaWorld world(1, shortTerms(), declare({ { "owner", 2, 6, {} } }), 1);
    world.run(seconds(10));
    auto& quota = *world.nodes[0]->quota;
    while (quota.take("owner").answer == QuotaAnswer::Admitted) { }
    const auto refused = quota.take("owner");
    BOOST_TEST((refused.evidence.cause == QuotaCause::OutOfTokens));
    BOOST_TEST(refused.evidence.tokens < 1);
    BOOST_TEST(refused.evidence.blocked.count() > 0);
    BOOST_TEST(toText(refused.evidence).starts_with("out-of-tokens:held=0"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenSeveralThreadsTakeAtOnce)

BOOST_AUTO_TEST_CASE(ThenTheyShareOneBurst)
{
    QuotaWorld world(1, shortTerms(), declare({ { "owner", 10, 1000, {} } }), 1);
    world.run(seconds(110));
    auto& quota = *world.nodes[0]->quota;
    std::atomic<int> admitted { 0 };
    std::vector<std::jthread> threads;
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&] {
            for (int i = 0; i < 1000; ++i) {
                admitted += quota.take("owner").answer == QuotaAnswer::Admitted;
                if (i % 100 == 0)
                    quota.tick();
            }
        });
    }
    threads.clear();
    BOOST_TEST(admitted <= 1000);
    BOOST_TEST(admitted >= 900);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnAccountIsNotDeclared)

BOOST_AUTO_TEST_CASE(ThenItIsRefused)
{
    QuotaWorld world(1, shortTerms(), declare({ { "owner", 2, 6, {} } }), 1);
    world.run(seconds(10));
    const auto refused = world.nodes[0]->quota->take("stranger");
    BOOST_TEST((refused.answer == QuotaAnswer::Refused));
    BOOST_TEST((refused.evidence.cause == QuotaCause::NotDeclared));
    BOOST_TEST(world.nodes[0]->quota->status().accounts.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheStoreIsAway)

BOOST_AUTO_TEST_CASE(ThenAnOutageShorterThanTheTermChangesNothing)
{
    QuotaWorld world(1, shortTerms(), declare({ { "owner", 10, 20, {} } }), 1);
    world.run(seconds(10));
    world.objects.down = true;
    drive(world, "owner", 9, seconds(10));
    BOOST_TEST(world.histories["owner"].admitted() == world.histories["owner"].arrivals());
}

BOOST_AUTO_TEST_CASE(ThenNothingIsAdmittedPastTheTermAndAllIsWellAfterwards)
{
    QuotaWorld world(1, shortTerms(), declare({ { "owner", 10, 20, {} } }), 1);
    world.run(seconds(10));
    world.objects.down = true;
    world.run(seconds(25));
    BOOST_TEST(world.heldSlots() == 0u);
    BOOST_TEST((world.nodes[0]->quota->take("owner").answer == QuotaAnswer::Refused));
    world.objects.down = false;
    world.run(seconds(5));
    BOOST_TEST(world.heldSlots() == 16u);
    BOOST_TEST((world.nodes[0]->quota->take("owner").answer == QuotaAnswer::Admitted));
}

BOOST_AUTO_TEST_CASE(ThenLostAnswersAreReadBack)
{
    QuotaWorld world(1, shortTerms(), declare({ { "owner", 10, 20, {} } }), 1);
    world.objects.losesAnswers = true;
    world.run(seconds(60));
    BOOST_TEST(world.heldSlots() == 16u);
    drive(world, "owner", 9, seconds(10));
    BOOST_TEST(world.histories["owner"].admitted() == world.histories["owner"].arrivals());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenManyNodesThatLearnOfEachOther)

BOOST_AUTO_TEST_SUITE(WhenAllStartAtOnce)

BOOST_AUTO_TEST_CASE(ThenEachSlotIsTakenByOneNodeWithFewCalls)
{
    constexpr size_t count = 24;
    QuotaWorld world(count, shortTerms(), declare({ { "owner", 200, 200, {} } }), 5, seconds(2));
    world.run(seconds(5));
    BOOST_TEST(world.heldSlots() == 16u);
    BOOST_TEST(world.mostHolders() == 1u);
    // One list for each node, and a read and a write for each slot, with as many again for a node that was mistaken.
    BOOST_TEST(world.objects.calls <= count + 4 * 16);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAllStartAgain)

BOOST_AUTO_TEST_CASE(ThenEachHolderTakesUpItsSlotsBeforeItKnowsTheOthers)
{
    constexpr size_t count = 24;
    QuotaWorld world(count, shortTerms(), declare({ { "owner", 200, 200, {} } }), 5, seconds(2));
    world.run(seconds(5));
    for (size_t i = 0; i < count; ++i)
        world.crash(i);
    for (size_t i = 0; i < count; ++i)
        world.restart(i);
    const auto before = world.objects.calls;
    world.run(milliseconds(500));
    BOOST_TEST(world.heldSlots() == 16u);
    BOOST_TEST(world.mostHolders() == 1u);
    BOOST_TEST(world.objects.calls - before <= count + 2 * 16);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenFourNodes)

BOOST_AUTO_TEST_SUITE(WhenAllAreKilledAtOnceAndStartAgain)

BOOST_AUTO_TEST_CASE(ThenEachTakesUpItsOwnSlotsWithoutWaitingForTheirTerms)
{
    QuotaWorld world(4, shortTerms(), declare({ { "owner", 200, 200, {} } }), 5);
    world.run(seconds(10));
    drive(world, "owner", 150, seconds(5));
    for (size_t i = 0; i < 4; ++i)
        world.crash(i);
    for (size_t i = 0; i < 4; ++i)
        world.restart(i);
    world.run(seconds(2));
    BOOST_TEST(world.heldSlots() == 16u);
    const auto before = world.histories["owner"].admitted();
    drive(world, "owner", 150, seconds(5));
    BOOST_TEST(world.histories["owner"].admitted() - before >= 740u);
    BOOST_TEST(world.histories["owner"].excess(200, 200) <= 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAHolderFallsSilent)

BOOST_AUTO_TEST_CASE(ThenItsTokensAreAskedOfTheOthersInTime)
{
    QuotaWorld world(4, shortTerms(), declare({ { "owner", 200, 200, {} } }), 5);
    world.run(seconds(10));
    drive(world, "owner", 20, seconds(5));
    world.membershipRuns = false;
    const auto silent = holderOfMost(world);
    world.crash(silent);
    const auto before = world.histories["owner"].admitted();
    for (int i = 0; i < 100; ++i) {
        world.run(milliseconds(50));
        world.request((silent + 1 + static_cast<size_t>(i) % 3) % 4, "owner");
    }
    world.run(seconds(1));
    BOOST_TEST(world.histories["owner"].admitted() - before >= 98u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheHolderIsNotYetKnownWhereARequestEnters)

BOOST_AUTO_TEST_CASE(ThenTheRequestWaitsForItAndIsNotSaidToBeOverItsRate)
{
    QuotaWorld world(4, shortTerms(), declare({ { "owner", 200, 200, {} } }, "leased-owner"), 5);
    world.run(seconds(10) + milliseconds(250));
    for (size_t at = 0; at < world.nodes.size(); ++at) {
        // 1. A node that has just started knows nobody.
        world.nodes[at]->board.members().eraseIf([](const NodeId&, const MemberRecord&) { return true; });
        world.run(milliseconds(700));
        const auto before = world.histories["owner"].admitted();
        world.request(at, "owner");

        // 2. The others are heard of 50 ms later: members hear of each other at each full second.
        world.run(milliseconds(300));
        BOOST_TEST(world.histories["owner"].admitted() - before == 1u);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(ThenASmallAccountIsServedWhereverItEnters)
{
    for (const auto* strategy : { "conserved", "conserved-home", "leased-owner" }) {
        QuotaWorld world(4, shortTerms(), declare({ { "small", 1, 5, {} } }, strategy), 1);
        world.run(seconds(20));
        drive(world, "small", 0.9, seconds(110));
        world.run(milliseconds(200));
        BOOST_TEST_CONTEXT(strategy)
        BOOST_TEST(world.histories["small"].admitted() >= world.histories["small"].arrivals() - 1);
        BOOST_TEST(world.histories["small"].excess(1, 5) <= 0);
    }
}

BOOST_AUTO_TEST_CASE(ThenAnAccountAtManyTimesItsRateTakesNothingFromASmallOne)
{
    QuotaWorld world(4, shortTerms(), declare({ { "large", 100, 100, {} }, { "small", 1, 5, {} } }), 1);
    world.run(seconds(20));
    for (int i = 0; i < 40; ++i) {
        drive(world, "large", 500, milliseconds(1100));
        world.request(static_cast<size_t>(i) % 4, "small");
    }
    world.run(milliseconds(200));
    BOOST_TEST(world.histories["small"].admitted() == 40u);
    BOOST_TEST(world.histories["large"].excess(100, 100) <= 0);
    BOOST_TEST(world.histories["large"].admitted() >= 4000u);
}

BOOST_AUTO_TEST_SUITE(WhenTheNodesLag)

BOOST_AUTO_TEST_CASE(ThenNoTokenIsFetchedTwiceAndAnAccountWithinItsRateIsServed)
{
    QuotaWorld world(16, shortTerms(), declare({ { "owner", 24, 24, {} } }), 1);
    world.run(seconds(10));
    world.delivery.delay = milliseconds(20);
    world.delivery.jitter = milliseconds(10);
    const auto pulls = [&] {
        uint64_t sum = 0;
        for (const auto& node : world.nodes)
            sum += node->board.counters().value(Counter::QuotaPulls);
        return sum;
    };
    for (int i = 0; i < 20'000; ++i) {
        world.step();
        if (world.random->unit() < 0.016)
            world.request(world.random->below(world.nodes.size()), "owner");
    }
    world.run(milliseconds(500));
    const auto& history = world.histories["owner"];
    const auto inRate = history.inRate(24, 24);
    BOOST_TEST(inRate.refused <= inRate.owed / 50);
    BOOST_TEST(pulls() <= history.arrivals() * 6 / 5);
    BOOST_TEST(history.excess(24, 24) <= 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenEveryMessageComesTwice)

BOOST_AUTO_TEST_CASE(ThenTokensDoNotMultiply)
{
    QuotaWorld world(4, shortTerms(), declare({ { "owner", 50, 40, {} } }), 1);
    world.delivery.duplication = 1;
    world.run(seconds(10));
    drive(world, "owner", 400, seconds(20));
    BOOST_TEST(world.histories["owner"].excess(50, 40) <= 0);
    BOOST_TEST(world.histories["owner"].admitted() > 100u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenGrantsArriveLate)

BOOST_AUTO_TEST_CASE(ThenTheirTokensHaveExpired)
{
    auto settings = shortTerms();
    settings.pullTimeout = seconds(5);
    settings.patience = seconds(5);
    QuotaWorld world(4, settings, declare({ { "owner", 50, 40, {} } }), 1);
    world.run(seconds(10));
    // Whole bursts that are held up on the way must not arrive on top of the bucket that filled meanwhile.
    world.delivery.delay = seconds(1);
    burst(world, "owner", 0, 60);
    burst(world, "owner", 1, 60);
    world.run(seconds(1));
    world.delivery = {};
    burst(world, "owner", 2, 60);
    world.run(seconds(3));
    BOOST_TEST(world.histories["owner"].excess(50, 40) <= 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenNoAnswerComes)

BOOST_AUTO_TEST_CASE(ThenEachWaitingRequestIsToldOnceAndSoon)
{
    // All tokens come from one slot.
    QuotaWorld world(4, shortTerms(), declare({ { "owner", 1, 2, {} } }), 1);
    world.run(seconds(10));
    world.delivery.loss = 1;
    int told = 0;
    int pending = 0;
    // A node that holds no slot of the account has to wait for others.
    for (size_t at = 0; at < 4; ++at) {
        const auto decision = world.nodes[at]->quota->take("owner", [&](const QuotaDecision& later) {
            ++told;
            BOOST_TEST((later.answer == QuotaAnswer::Refused));
            BOOST_TEST(later.retryAfter.count() > 0);
            BOOST_TEST((later.evidence.cause == QuotaCause::NoAnswer));
        });
        pending += decision.answer == QuotaAnswer::Pending;
    }
    BOOST_TEST(pending == 3);
    world.run(world.settings.patience + milliseconds(60));
    BOOST_TEST(told == pending);
    world.run(seconds(2));
    BOOST_TEST(told == pending);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAHolderStopsCleanly)

BOOST_AUTO_TEST_CASE(ThenOthersTakeItsSlotsWithinSecondsAndStartEmpty)
{
    QuotaWorld world(4, shortTerms(), declare({ { "owner", 2, 40, {} } }), 1);
    world.run(seconds(30));
    for (size_t turn = 0; turn < 3; ++turn) {
        const auto leaving = holderOfMost(world);
        world.release(leaving);
        world.run(milliseconds(500));
        BOOST_TEST(world.nodes[leaving]->quota->released());
        world.crash(leaving);
        world.run(seconds(4));
        world.restart(leaving);
        BOOST_TEST(world.heldSlots() == 16u);
        burst(world, "owner", (leaving + 1) % 4, 60);
    }
    BOOST_TEST(world.histories["owner"].excess(2, 40) <= 0);
}

BOOST_AUTO_TEST_CASE(ThenAStaleReadDoesNotBringItsLeasesBack)
{
    QuotaWorld world(2, shortTerms(), declare({ { "owner", 2, 40, {} } }), 1);
    world.run(seconds(30));
    world.objects.readsStale = true;
    for (int i = 0; i < 10000 && world.mostHolders() <= 1; ++i) {
        if (i % 2000 == 0)
            world.release(0);
        world.step();
    }
    BOOST_TEST(world.mostHolders() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAHolderCrashes)

BOOST_AUTO_TEST_CASE(ThenItsSlotsAreTakenAfterATermAndNotBefore)
{
    QuotaWorld world(4, shortTerms(), declare({ { "owner", 10, 20, {} } }), 1);
    world.run(seconds(10));
    world.crash(holderOfMost(world));
    const auto rest = world.heldSlots();
    BOOST_TEST(rest < 16u);
    world.run(seconds(12));
    BOOST_TEST(world.heldSlots() == rest);
    world.run(seconds(15));
    BOOST_TEST(world.heldSlots() == 16u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenClocksDriftApart)

BOOST_AUTO_TEST_CASE(ThenASlowHolderStopsBeforeAFastTakerStarts)
{
    // The taker reads the objects while the holder makes its second round of renewals.
    for (uint64_t offset = 0; offset < 60; ++offset) {
        QuotaWorld world(2, shortTerms(), declare({ { "owner", 10, 20, {} } }), offset);
        world.nodes[0]->clock.runAt(0.99);
        world.nodes[1]->clock.runAt(1.01);
        world.run(milliseconds(11500) + static_cast<int64_t>(offset % 10) * milliseconds(200));
        world.nodes[0]->side = 1;
        world.run(milliseconds(1800));
        world.nodes[0]->objects.cut = true;
        size_t most = 0;
        for (int i = 0; i < 45000; ++i) {
            world.step();
            most = std::max(most, i % 10 ? 0 : world.mostHolders());
        }
        BOOST_TEST_CONTEXT("offset " << offset)
        BOOST_TEST(most == 1u);
        BOOST_TEST(world.nodes[1]->quota->heldSlots().size() == 16u);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAHolderIsPausedPastItsTerm)

BOOST_AUTO_TEST_CASE(ThenItCreatesNothingWhereverThePauseHits)
{
    for (int reads = 1; reads <= 12; ++reads) {
        QuotaWorld world(2, shortTerms(), declare({ { "owner", 10, 20, {} } }), 1);
        world.run(seconds(10));
        world.freezeWithin(0, reads, [&world] {
            world.run(seconds(40));
            for (int i = 0; i < 40; ++i)
                world.request(1, "owner");
            world.run(milliseconds(20));
        });
        for (int i = 0; i < 40; ++i)
            world.request(0, "owner");
        world.run(milliseconds(500));
        BOOST_TEST_CONTEXT("reads before the pause: " << reads)
        BOOST_TEST(world.histories["owner"].excess(10, 20) <= 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheFleetIsSplit)

BOOST_AUTO_TEST_CASE(ThenNoSlotHasTwoHoldersAndBothSidesAreServed)
{
    QuotaWorld world(4, shortTerms(), declare({ { "owner", 100, 100, {} } }), 1);
    world.run(seconds(10));
    world.nodes[0]->side = world.nodes[1]->side = 1;
    size_t most = 0;
    for (int i = 0; i < 60; ++i) {
        drive(world, "owner", 40, seconds(1));
        most = std::max(most, world.mostHolders());
    }
    BOOST_TEST(most == 1u);
    BOOST_TEST(world.histories["owner"].excess(100, 100) <= 0);
    BOOST_TEST(world.histories["owner"].admitted() > world.histories["owner"].arrivals() * 9 / 10);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

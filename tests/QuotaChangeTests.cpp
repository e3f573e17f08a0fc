// libraries: quota
#include "QuotaWorld.h"

#include <boost/test/unit_test.hpp>

using namespace Vanillaridge;

namespace {

Declarations declare(std::vector<ClientAccount> accounts)
{
    Declarations declarations;
    declarations.accounts = std::move(accounts);
    return declarations;
}

QuotaSettings fourSlots()
{
    QuotaSettings settings;
    settings.slots = 16;
    settings.ratePerSlot = 1000;
    return settings;
}

// Nodes adopt the change one after the other while requests come in at many times the rate.
void change(QuotaWorld& world, const Declarations& declarations, Duration between)
{
    for (size_t at = 0; at < world.nodes.size(); ++at) {
        world.configure(at, declarations);
        for (Duration passed {}; passed < between; passed += milliseconds(1)) {
            for (size_t i = 0; i < world.nodes.size(); ++i)
                world.request(i, "owner");
            world.step();
        }
    }
}

// The largest excess over max(bursts) + max(rates) x t, after a burst, a change and another burst.
double excessAcross(const ClientAccount& before, const ClientAccount& after, Duration between)
{
    QuotaWorld world(4, fourSlots(), declare({ before }), 1);
    world.run(seconds(20));
    change(world, declare({ before }), milliseconds(100));
    change(world, declare({ after }), between);
    change(world, declare({ after }), seconds(1));
    return world.histories["owner"].excess(std::max(before.rate, after.rate), std::max(before.burst, after.burst));
}

} // namespace

BOOST_AUTO_TEST_SUITE(GivenAnAccountInUse)

BOOST_AUTO_TEST_SUITE(WhenItsRateAndBurstChange)

BOOST_AUTO_TEST_CASE(ThenTheHigherOfBothHoldsAcrossTheChange)
{
    const ClientAccount low { "owner", 20, 40, {} };
    const ClientAccount high { "owner", 200, 60, {} };
    const ClientAccount wide { "owner", 20, 400, {} };
    for (const auto between : { milliseconds(5), milliseconds(400) }) {
        BOOST_TEST(excessAcross(low, high, between) <= 0);
        BOOST_TEST(excessAcross(high, low, between) <= 0);
        BOOST_TEST(excessAcross(low, wide, between) <= 0);
        BOOST_TEST(excessAcross(wide, low, between) <= 0);
    }
}

BOOST_AUTO_TEST_CASE(ThenTokensUnderWayCountAgainstTheHigherRate)
{
    QuotaWorld world(1, fourSlots(), declare({ { "owner", 20, 40, {} } }), 1);
    world.run(seconds(20));
    auto& quota = *world.nodes[0]->quota;
    const auto takeAll = [&quota] {
        std::vector<QuotaDecision> taken;
        for (auto next = quota.take("owner"); next.answer == QuotaAnswer::Admitted; next = quota.take("owner"))
            taken.push_back(next);
        return taken;
    };
    // The whole burst is drawn from the slots, but nothing of it runs.
    for (const auto& decision : takeAll())
        quota.giveBack("owner", decision);
    world.configure(0, declare({ { "owner", 200, 40, {} } }));
    world.run(milliseconds(190));
    BOOST_TEST(takeAll().size() <= 40u);
}

BOOST_AUTO_TEST_CASE(ThenAChangeOfItsSlotsAddsNoBurst)
{
    // The burst decides how many slots there are: 1 or 4.
    const ClientAccount narrow { "owner", 1, 2, {} };
    const ClientAccount wide { "owner", 1, 40, {} };
    BOOST_TEST(excessAcross(wide, narrow, milliseconds(5)) <= 0);
    QuotaWorld world(4, fourSlots(), declare({ wide }), 1);
    world.run(seconds(60));
    for (int turn = 0; turn < 6; ++turn)
        change(world, declare({ turn % 2 ? wide : narrow }), milliseconds(100));
    BOOST_TEST(world.histories["owner"].excess(2, 40) <= 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItVanishesAndComesBack)

BOOST_AUTO_TEST_CASE(ThenItsBucketsStartEmpty)
{
    const ClientAccount owner { "owner", 1, 40, {} };
    QuotaWorld world(4, fourSlots(), declare({ owner }), 1);
    world.run(seconds(60));
    for (int turn = 0; turn < 6; ++turn)
        change(world, turn % 2 ? declare({ owner }) : declare({}), milliseconds(100));
    BOOST_TEST(world.histories["owner"].excess(1, 40) <= 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenSettingsAndAccountsToCheck)

BOOST_AUTO_TEST_CASE(ThenTheDefaultsAreSound) { BOOST_TEST(!problemOf(QuotaSettings {})); }

BOOST_AUTO_TEST_CASE(ThenAMarginBelowTheDriftIsFound)
{
    QuotaSettings settings;
    settings.clockDrift = 0.005;
    BOOST_TEST(problemOf(settings).has_value());
}

BOOST_AUTO_TEST_CASE(ThenABurstThatHoldsNoWholeTokenIsFound)
{
    const QuotaSettings settings;
    BOOST_TEST(problemOf(ClientAccount { "owner", 1, 1, {} }, settings).has_value());
    BOOST_TEST(!problemOf(ClientAccount { "owner", 1, 2, {} }, settings).has_value());
    BOOST_TEST(problemOf(ClientAccount { "owner", 1000, 100, {} }, settings).has_value());
    BOOST_TEST(problemOf(ClientAccount { "owner", 0, 100, {} }, settings).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

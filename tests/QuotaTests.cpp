// libraries: quota
#include "QuotaWorld.h"

#include <boost/test/unit_test.hpp>

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
    return settings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(GivenOneNode)

BOOST_AUTO_TEST_CASE(ThenItHoldsAllSlotsAndServesTheRate)
{
    QuotaWorld world(1, shortTerms(), declare({ { "owner", 10, 20, {} } }), 1);
    world.run(seconds(10));
    BOOST_TEST(world.heldSlots() == 16u);
    for (int i = 0; i < 200; ++i) {
        world.run(milliseconds(100));
        world.request(0, "owner");
    }
    world.run(milliseconds(200));
    BOOST_TEST(world.histories["owner"].admitted() >= 195u);
    BOOST_TEST(world.histories["owner"].excess(10, 20) <= 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenFourNodes)

BOOST_AUTO_TEST_CASE(ThenASmallAccountIsServedWhereverItEnters)
{
    for (const auto* strategy : { "conserved", "conserved-home", "leased-owner" }) {
        QuotaWorld world(4, shortTerms(), declare({ { "small", 1, 5, {} } }, strategy), 1);
        world.run(seconds(20));
        for (int i = 0; i < 100; ++i) {
            world.run(milliseconds(1100));
            world.request(i % 4, "small");
        }
        world.run(milliseconds(200));
        BOOST_TEST_CONTEXT(strategy)
        BOOST_TEST(world.histories["small"].admitted() >= 98u);
        BOOST_TEST(world.histories["small"].excess(1, 5) <= 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()

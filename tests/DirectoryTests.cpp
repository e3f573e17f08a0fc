// libraries: dissemination membership
#include "FakeFleet.h"
#include "FakePlatform.h"
#include "dissemination/Dissemination.h"

#include <boost/test/unit_test.hpp>

using namespace Vanillaridge;

namespace {

constexpr uint64_t seed = 20260401;
constexpr Duration minute = std::chrono::minutes(1);

// A fleet whose members know no contacts but those in the platform's directory objects.
struct Story {
    Story()
        : fleet(seed)
        , random(makeSeededRandom(seed + 1))
    {
        fleet.contacts.clear();
        fleet.onStart = [this](FakeMember& member) {
            auto directory
                = std::make_unique<Directory>(member.board, fleet.clock, *random, platform, DirectorySettings());
            directory->onContacts(
                [&member](std::span<const Endpoint> contacts) { member.membership.contacts(contacts); });
            directories[member.board.self().endpoint] = std::move(directory);
        };
        fleet.onTick = [this](FakeMember& member) { directories.at(member.board.self().endpoint)->tick(); };
    }

    template <typename Test> bool within(Duration limit, Test test)
    {
        for (const auto end = fleet.clock.now() + limit; fleet.clock.now() < end; platform.deliver()) {
            if (test())
                return true;
            fleet.step();
        }
        return test();
    }

    FakePlatform platform;
    FakeFleet fleet;
    std::unique_ptr<RandomSource> random;
    std::map<Endpoint, std::unique_ptr<Directory>> directories;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GivenAFleetThatKnowsOnlyThePlatform, Story)

BOOST_AUTO_TEST_CASE(ThenAllFindEachOtherThroughAFewObjects)
{
    fleet.startAll(24);
    BOOST_TEST(within(2 * minute, [&] { return fleet.agrees(); }));
    const auto calls = platform.calls;
    within(10 * minute, [] { return false; });
    // 4 objects, each looked at by one member every 5 minutes, and perhaps written once.
    BOOST_TEST(platform.calls - calls < 40u);
}

BOOST_AUTO_TEST_CASE(ThenANewFleetFindsItselfThoughAllContactsAreGone)
{
    fleet.startAll(8);
    within(2 * minute, [&] { return fleet.agrees(); });
    for (size_t i = 0; i < 8; ++i)
        fleet.kill(i);
    for (size_t i = 20; i < 28; ++i)
        fleet.start(i);
    BOOST_TEST(within(5 * minute, [&] { return fleet.agrees(); }));
}

BOOST_AUTO_TEST_CASE(ThenALoneMemberThatIsCutOffDoesNotWipeOutTheOthersContacts)
{
    fleet.startAll(16);
    within(2 * minute, [&] { return fleet.agrees(); });
    within(6 * minute, [] { return false; });
    const auto lone = FakeFleet::endpointOf(30);
    fleet.cut = [lone](const Endpoint& from, const Endpoint& to) { return (from == lone) != (to == lone); };
    fleet.start(30);
    within(11 * minute, [] { return false; });
    fleet.cut = nullptr;
    BOOST_TEST(within(2 * minute, [&] { return fleet.agrees(); }));
}

BOOST_AUTO_TEST_SUITE_END()

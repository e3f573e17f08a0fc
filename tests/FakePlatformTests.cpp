// libraries: platform
#include "FakePlatform.h"

#include <boost/test/unit_test.hpp>

using namespace Vanillaridge;

BOOST_AUTO_TEST_SUITE(GivenAFakePlatform)

BOOST_AUTO_TEST_CASE(ThenOneOfTwoRacingUpdatesWins)
{
    FakePlatform platform;
    size_t won = 0;
    size_t lost = 0;
    const auto count = [&](const PlatformResult<uint64_t>& result) { result ? ++won : ++lost; };
    platform.put("object", "one", absentVersion, count);
    platform.put("object", "two", absentVersion, count);
    platform.deliver();
    BOOST_TEST(won == 1u);
    BOOST_TEST(lost == 1u);
    BOOST_TEST(platform.stored("object")->value == "one");
}

BOOST_AUTO_TEST_CASE(ThenALostAnswerLeavesItsEffect)
{
    FakePlatform platform;
    platform.losesAnswers = true;
    platform.put("object", "one", absentVersion, [](const auto& result) { BOOST_TEST(!result); });
    platform.deliver();
    BOOST_TEST(platform.stored("object").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

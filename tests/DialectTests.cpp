// libraries: dialect
#include "dialect/Dialect.h"

#include <boost/test/unit_test.hpp>

using namespace Vanillaridge;

BOOST_AUTO_TEST_SUITE(GivenOurOwnDialect)

BOOST_AUTO_TEST_SUITE(WhenABackendServerAnswers)

static AnswerKind kindOf(std::vector<HeaderField> headers)
{
    const RequestHead sent { "GET", "/", { { std::string(requestHeader), "1-2-3-0" } }, false, std::nullopt };
    return ownDialect().judge(sent, { 200, std::move(headers), false, std::nullopt });
}

BOOST_AUTO_TEST_CASE(ThenAnAnswerThatEchoesAnotherAttemptIsStray)
{
    BOOST_TEST((kindOf({ { "Vanillaridge-Request", "1-2-4-0" } }) == AnswerKind::Stray));
}

BOOST_AUTO_TEST_CASE(ThenOneThatEchoesItsOwnAttemptOrNoneIsGenuine)
{
    BOOST_TEST((kindOf({ { "vanillaridge-request", "1-2-3-0" } }) == AnswerKind::Genuine));
    BOOST_TEST((kindOf({}) == AnswerKind::Genuine));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

// libraries: board
#include "board/Board.h"

#include <boost/test/unit_test.hpp>

using namespace Vanillaridge;

namespace {

Board makeBoard() { return Board({ "127.0.0.1:7000", "zone-a", { 1 }, { 1 } }); }

ConfigurationPointer numbered(uint64_t number)
{
    return std::make_shared<const Configuration>(number, Declarations {});
}

} // namespace

BOOST_AUTO_TEST_SUITE(GivenABoard)

BOOST_AUTO_TEST_SUITE(WhenConfigurationsArrive)

BOOST_AUTO_TEST_CASE(ThenOnlyAHigherNumberIsAdopted)
{
    auto board = makeBoard();
    BOOST_TEST(board.configuration().adopt(numbered(2)));
    BOOST_TEST(!board.configuration().adopt(numbered(2)));
    BOOST_TEST(!board.configuration().adopt(numbered(1)));
    BOOST_TEST(board.configuration().inForce()->number() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenControllersPostMessages)

BOOST_AUTO_TEST_CASE(ThenTheListenerIsToldAndTheyAreDrainedOnce)
{
    auto board = makeBoard();
    int wakeups = 0;
    board.outbox().onPost([&] { ++wakeups; });
    board.outbox().post("127.0.0.1:7001", QuotaPull {});
    BOOST_TEST(wakeups == 1);
    BOOST_TEST(board.outbox().drain().size() == 1u);
    BOOST_TEST(board.outbox().drain().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

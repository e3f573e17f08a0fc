// libraries: wire
#include "WireGenerators.h"

#include <boost/test/unit_test.hpp>

using namespace Vanillaridge;

namespace {

// Room that the estimate keeps for the longest endpoint in a datagram's header.
constexpr size_t slack = 64;
const Endpoint sender = "10.200.100.100:65535";

} // namespace

BOOST_AUTO_TEST_SUITE(GivenAnyControlMessage)

BOOST_AUTO_TEST_CASE(ThenItsEstimatedSizeIsThatOfItsDatagramOrALittleMore)
{
    const Authenticator authenticator("a shared secret of the tests");
    BOOST_TEST(rc::check("the estimate covers the encoded message", [&] {
        const Datagram datagram { sender, { 1 }, Duration(1), draw<ControlMessage>() };
        const auto sealed = authenticator.seal(datagram, sender);
        RC_ASSERT(bool(sealed));
        RC_ASSERT(sealed->size() <= estimatedSize(datagram.message));
        RC_ASSERT(sealed->size() + slack >= estimatedSize(datagram.message));
    }));
}

BOOST_AUTO_TEST_SUITE_END()

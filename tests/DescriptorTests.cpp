// libraries: node
#include "node/Descriptors.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Vanillaridge;

// Guards against callers that use up the descriptors which the node needs for connections of its own.
BOOST_AUTO_TEST_SUITE(GivenAnyLimitOfDescriptors)

BOOST_AUTO_TEST_CASE(ThenAQuarterIsLeftForTheNodeItselfAndItsBackendServers)
{
    BOOST_TEST(rc::check("shares leave a quarter, of it half for what is not bounded, and nobody is left out", [] {
        const auto available = *rc::gen::inRange<uint64_t>(64, 1 << 20);
        const auto wished = *rc::gen::inRange<size_t>(1, 100'000);
        const auto shares = shareDescriptors(available, wished);
        RC_ASSERT(shares.callers >= 1u && shares.servers >= 1u && shares.pages >= 1u);
        RC_ASSERT(shares.callers <= wished && shares.servers <= wished);
        const auto accepted = shares.callers + shares.servers + 2 * shares.pages;
        RC_ASSERT(shares.backends >= 1u);
        RC_ASSERT(accepted <= available - available / 4);
        RC_ASSERT(accepted + shares.backends <= available - available / 8);
    }));
}

BOOST_AUTO_TEST_CASE(ThenOneThatIsWideEnoughChangesNothing)
{
    constexpr size_t wished = 4000;
    const auto shares = shareDescriptors(1 << 20, wished);
    BOOST_TEST(shares.callers == wished);
    BOOST_TEST(shares.servers == wished);
}

BOOST_AUTO_TEST_SUITE_END()

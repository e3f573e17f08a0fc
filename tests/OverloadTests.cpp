// libraries: admission placement retry
#include "../bench/OverloadCases.h"

#include <boost/test/unit_test.hpp>

using namespace Vanillaridge;

// Regression bounds for the overload policy, as ratios of what is physically possible. The clock is injected and the
// seeds are fixed, so every run gives the same results. bench/OverloadBench.cpp runs the cases at full length.

namespace {

constexpr Deployment deployments[] = { Deployment::SaengChai, Deployment::Altai };

// Shortens a case to keep the test fast.
OverloadCase shortened(OverloadCase overload)
{
    overload.warmUp = milliseconds(500);
    overload.trigger = milliseconds(2500);
    overload.rest = milliseconds(1500);
    return overload;
}

const Contestant adaptive { .name = "adaptive" };
const Contestant noControl {
    .name = "no control", .admission = AdmissionStrategy::NoControl, .edge = EdgeShedding::Off
};
// Neither the entry nor the first guard sheds requests because of downstream overload.
const Contestant noEdge {
    .name = "no edge shedding", .admission = AdmissionStrategy::AdaptiveLocal, .edge = EdgeShedding::Off
};

} // namespace

BOOST_AUTO_TEST_SUITE(GivenTwiceTheLoadThatFits)

BOOST_AUTO_TEST_CASE(ThenAShallowServiceStaysAtItsLimit)
{
    for (const auto deployment : deployments) {
        const auto result = runOverload(shortened({ .name = "", .deployment = deployment }), adaptive);
        BOOST_TEST(result.goodput >= 0.95);
        BOOST_TEST(result.critical == 1);
        BOOST_TEST(result.recovery <= 2);
    }
}

BOOST_AUTO_TEST_CASE(ThenADeepChainStaysNearItsLimitAndWastesLittle)
{
    for (const auto deployment : deployments) {
        const auto overload = shortened({ .name = "", .deployment = deployment, .depth = 5 });
        const auto result = runOverload(overload, adaptive);
        BOOST_TEST(result.goodput >= 0.9);
        BOOST_TEST(result.critical == 1);
        BOOST_TEST(result.recovery <= 2);
        // The step to twice the load is a larger part of this short run than of the full-length case, whose bound is
        // 0.03.
        BOOST_TEST(result.wasted <= 0.05);
    }
}

BOOST_AUTO_TEST_CASE(ThenOverTheWholeCaseADeepChainWastesLittleBesideOneWithoutEdgeShedding)
{
    for (const auto deployment : deployments) {
        const OverloadCase overload { .name = "", .deployment = deployment, .depth = 5 };
        const auto result = runOverload(overload, adaptive);
        BOOST_TEST(result.wasted <= 0.03);
        BOOST_TEST(result.wasted < 0.3 * runOverload(overload, noEdge).wasted);
    }
}

BOOST_AUTO_TEST_CASE(ThenNoControlLosesItsMostImportantRequests)
{
    const auto result = runOverload(shortened({ .name = "" }), noControl);
    BOOST_TEST(result.critical < 0.5);
    BOOST_TEST(result.goodput < 0.8);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenAnAccountAtFiveTimesItsRate)

BOOST_AUTO_TEST_CASE(ThenTheOthersGetTheirMaxMinShare)
{
    const auto result = runOverload(shortened({ .name = "", .during = 0.8, .excessOfFirstAccount = 5 }), adaptive);
    BOOST_TEST(result.worstServed >= 0.95);
}

BOOST_AUTO_TEST_CASE(ThenWithRatesEnforcedNobodyWithinItsRateIsRefused)
{
    for (const auto deployment : deployments) {
        const auto result = runOverload(shortened({ .name = "",
                                            .deployment = deployment,
                                            .depth = 3,
                                            .during = 0.8,
                                            .excessOfFirstAccount = 5,
                                            .ratesEnforced = true }),
            adaptive);
        BOOST_TEST(result.inRateRefused == 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenADeepServiceAtATenthOfItsSpeed)

BOOST_AUTO_TEST_CASE(ThenTheMostImportantRequestsPassAndItRecovers)
{
    for (const auto deployment : deployments) {
        const auto result = runOverload(
            shortened({ .name = "", .deployment = deployment, .depth = 3, .during = 0.7, .slowness = 10 }), adaptive);
        BOOST_TEST(result.goodput >= 0.85);
        BOOST_TEST(result.critical >= 0.98);
        BOOST_TEST(result.recovery < 2);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenAServerThatFailsAllWhileItClaimsToBeHealthy)

BOOST_AUTO_TEST_CASE(ThenRequestsThatFitAreServed)
{
    const auto result = runOverload(shortened({ .name = "", .during = 0.6, .lyingServer = true }), adaptive);
    BOOST_TEST(result.goodput >= 0.95);
    BOOST_TEST(result.inRateRefused <= 0.001);
}

BOOST_AUTO_TEST_SUITE_END()

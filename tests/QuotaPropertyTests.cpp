// libraries: quota
#include "QuotaWorld.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Vanillaridge;

namespace {

constexpr size_t nodeCount = 5;

enum class Fault {
    None,
    Crash,
    Restart,
    Pause,
    Resume,
    FreezeWithin,
    Split,
    Heal,
    StoreDown,
    StoreUp,
    CutFromStore,
    JoinToStore,
    LoseAnswers,
    GiveAnswers,
    ReadStale,
    ReadFresh,
    DisturbMessages,
    CalmMessages,
    CleanStop,
    SilenceMembership,
    WakeMembership,
    Count,
};

// One step of a schedule: a fault, at a node, and how long traffic runs afterwards.
struct Step {
    Fault fault;
    size_t node;
    int milliseconds;
};

std::ostream& operator<<(std::ostream& out, const Step& step)
{
    return out << "{fault " << static_cast<int>(step.fault) << ", node " << step.node << ", " << step.milliseconds
               << " ms}";
}

rc::Gen<Step> genStep()
{
    return rc::gen::build<Step>(rc::gen::set(&Step::fault,
                                    rc::gen::map(rc::gen::inRange(0, static_cast<int>(Fault::Count)),
                                        [](int f) { return static_cast<Fault>(f); })),
        rc::gen::set(&Step::node, rc::gen::inRange<size_t>(0, nodeCount)),
        rc::gen::set(&Step::milliseconds, rc::gen::inRange(50, 2500)));
}

const std::vector<ClientAccount> accounts { { "large", 200, 120, {} }, { "middle", 30, 20, {} },
    { "small", 2, 4, {} } };

Declarations declare(const std::string& strategy)
{
    Declarations declarations;
    declarations.accounts = accounts;
    declarations.policy.quota = strategy;
    return declarations;
}

// Terms short enough for many of them to end within a schedule, and clocks that drift a lot.
QuotaSettings hurried()
{
    QuotaSettings settings;
    settings.slots = 8;
    settings.ratePerSlot = 50;
    settings.leaseTerm = seconds(3);
    settings.ownerLeaseTerm = seconds(2);
    settings.safetyMargin = milliseconds(100);
    settings.clockDrift = 0.01;
    settings.handoverDelay = seconds(1);
    return settings;
}

// Requests of all accounts at several times their rates, with bursts at one node now and then.
void drive(QuotaWorld& world, Duration span)
{
    const Instant end = world.clock.now() + span;
    while (world.clock.now() < end) {
        for (const auto& account : accounts) {
            double expected = 3 * account.rate / 1000;
            if (world.random->unit() < 0.002)
                expected += account.burst;
            for (; expected >= 1 || world.random->unit() < expected; --expected)
                world.request(world.random->below(nodeCount), account.name);
        }
        world.step();
        if (world.clock.now().time_since_epoch() % milliseconds(10) == Duration(0) && world.mostHolders() > 1)
            RC_FAIL("two nodes hold the same slot");
    }
}

void inflict(QuotaWorld& world, const Step& step)
{
    auto& node = *world.nodes[step.node];
    switch (step.fault) {
    case Fault::Crash:
        world.crash(step.node);
        break;
    case Fault::Restart:
        world.crash(step.node);
        world.restart(step.node);
        break;
    case Fault::Pause:
        world.pause(step.node);
        break;
    case Fault::Resume:
        world.resume(step.node);
        break;
    case Fault::FreezeWithin:
        world.freezeWithin(step.node, 1 + step.milliseconds % 20, [&world] { drive(world, seconds(5)); });
        break;
    case Fault::Split:
        node.side = 1;
        break;
    case Fault::Heal:
        for (auto& each : world.nodes)
            each->side = 0;
        break;
    case Fault::StoreDown:
    case Fault::StoreUp:
        world.objects.down = step.fault == Fault::StoreDown;
        break;
    case Fault::CutFromStore:
    case Fault::JoinToStore:
        node.objects.cut = step.fault == Fault::CutFromStore;
        break;
    case Fault::LoseAnswers:
    case Fault::GiveAnswers:
        world.objects.losesAnswers = step.fault == Fault::LoseAnswers;
        break;
    case Fault::ReadStale:
    case Fault::ReadFresh:
        world.objects.readsStale = step.fault == Fault::ReadStale;
        break;
    case Fault::DisturbMessages:
        world.delivery = { milliseconds(2), milliseconds(4), 0.1, 0.3, 0.2 };
        break;
    case Fault::CalmMessages:
        world.delivery = {};
        break;
    case Fault::CleanStop:
        if (node.running && !node.paused)
            world.release(step.node);
        break;
    case Fault::SilenceMembership:
    case Fault::WakeMembership:
        world.membershipRuns = step.fault == Fault::WakeMembership;
        break;
    default:
        break;
    }
}

void checkNoExcess(const std::string& strategy)
{
    const auto schedule = *rc::gen::container<std::vector<Step>>(genStep());
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    QuotaWorld world(nodeCount, hurried(), declare(strategy), seed);
    drive(world, seconds(2));
    for (const auto& step : schedule) {
        inflict(world, step);
        drive(world, milliseconds(step.milliseconds));
    }
    for (const auto& account : accounts) {
        const double excess = world.histories[account.name].excess(account.rate, account.burst);
        if (excess > 0)
            RC_FAIL(account.name + " had " + std::to_string(excess) + " requests too many");
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(GivenAFleetUnderRandomFaults)

BOOST_AUTO_TEST_SUITE(WhenAccountsCallAtThreeTimesTheirRates)

BOOST_AUTO_TEST_CASE(ThenConservedTokensNeverExceedRateAndBurst)
{
    BOOST_TEST(rc::check("conserved", [] { checkNoExcess("conserved"); }));
}

BOOST_AUTO_TEST_CASE(ThenAccountHomesNeverExceedRateAndBurst)
{
    BOOST_TEST(rc::check("conserved-home", [] { checkNoExcess("conserved-home"); }));
}

BOOST_AUTO_TEST_CASE(ThenLeasedOwnersNeverExceedRateAndBurst)
{
    BOOST_TEST(rc::check("leased-owner", [] { checkNoExcess("leased-owner"); }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

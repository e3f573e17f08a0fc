// libraries: intake
#include "intake/Intake.h"

#include <boost/test/unit_test.hpp>

using namespace Vanillaridge;

namespace {

// A node whose callers' connections the test accepts or refuses.
struct Story {
    using Note = void (Intake::*)();

    // The same once every tenth of a second.
    void repeat(Note note, Duration span)
    {
        constexpr Duration period = milliseconds(100);
        for (const auto end = clock.now() + span; clock.now() < end;) {
            clock.advance(period);
            (intake.*note)();
        }
    }

    Board board { { "10.0.0.1:7000", "zone", { 1 }, { 1 } } };
    ManualClock clock;
    Intake intake { board, clock };
};

constexpr std::array<Story::Note, 2> refusals { &Intake::noteTurnedAway, &Intake::noteFailed };

} // namespace

// Guards against a node that says that it is ready and takes no connection.
BOOST_FIXTURE_TEST_SUITE(GivenANodeThatAcceptsConnections, Story)

BOOST_AUTO_TEST_CASE(ThenItIsOpen)
{
    repeat(&Intake::noteAccepted, seconds(5));
    BOOST_TEST(!intake.refuses());
    BOOST_TEST(!intake.isBlocked());
}

BOOST_AUTO_TEST_SUITE(WhenItRefusesEveryOne)

BOOST_AUTO_TEST_CASE(ThenItIsBlockedWithinTwoSeconds)
{
    for (const auto refusal : refusals) {
        repeat(&Intake::noteAccepted, seconds(5));
        repeat(refusal, seconds(2));
        BOOST_TEST(intake.refuses());
        BOOST_TEST(intake.isBlocked());
    }
}

BOOST_AUTO_TEST_CASE(ThenTheFirstThatIsAcceptedEndsIt)
{
    repeat(&Intake::noteTurnedAway, seconds(10));
    intake.noteAccepted();
    BOOST_TEST(!intake.isBlocked());
    BOOST_TEST(intake.refuses());
}

// Otherwise a whole fleet would stay out of use after a flood.
BOOST_AUTO_TEST_CASE(ThenItIsOpenAgainOnceNobodyTries)
{
    repeat(&Intake::noteFailed, seconds(10));
    clock.advance(seconds(4));
    BOOST_TEST(!intake.refuses());
    BOOST_TEST(!intake.isBlocked());
    intake.noteFailed();
    BOOST_TEST(!intake.isBlocked());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItRefusesSome)

BOOST_AUTO_TEST_CASE(ThenItIsNotBlocked)
{
    for (int i = 0; i < 20; ++i) {
        repeat(&Intake::noteTurnedAway, milliseconds(900));
        intake.noteAccepted();
        BOOST_TEST(!intake.isBlocked());
    }
    BOOST_TEST(intake.refuses());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

// libraries: apply
#include "FakePlatform.h"
#include "apply/Apply.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace Vanillaridge;

namespace {

// Waits on the fake platform by delivering its answers. Tests may do something between two calls.
class FakeAccess : public ObjectAccess {
public:
    PlatformResult<StoredObject> get(std::string_view name) override
    {
        std::optional<PlatformResult<StoredObject>> outcome;
        platform.get(name, [&](auto result) { outcome.emplace(std::move(result)); });
        platform.deliver();
        return *outcome;
    }
    PlatformResult<uint64_t> put(std::string_view name, std::string_view value, uint64_t expected) override
    {
        if (beforePut)
            std::exchange(beforePut, nullptr)();
        std::optional<PlatformResult<uint64_t>> outcome;
        platform.put(name, value, expected, [&](auto result) { outcome.emplace(std::move(result)); });
        platform.deliver();
        puts += name == manifestObject;
        if (const auto stored = platform.stored(manifestObject))
            everStored.insert(stored->value);
        return *outcome;
    }
    void pause(Duration) override
    {
        ++pauses;
        if (duringPause)
            duringPause();
    }

    uint64_t version() const { return platform.stored(manifestObject) ? platform.stored(manifestObject)->version : 0; }
    std::string content() const { return platform.stored(manifestObject)->value; }

    FakePlatform platform;
    std::function<void()> beforePut;
    std::function<void()> duringPause;
    // Updates of the manifest, and every manifest that was ever on the platform.
    size_t puts = 0;
    std::set<std::string> everStored;
    size_t pauses = 0;
};

// Puts somebody else's manifest in place.
void applyElsewhere(FakeAccess& access, std::string_view text, std::string_view author)
{
    const bool losesAnswers = std::exchange(access.platform.losesAnswers, false);
    const auto keep = std::exchange(access.beforePut, nullptr);
    applyManifest(access, text, author);
    access.platform.losesAnswers = losesAnswers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(GivenAPlatformWithoutAManifest)

BOOST_FIXTURE_TEST_CASE(ThenTheFirstIsAppliedAndTheSameAgainChangesNothing, FakeAccess)
{
    BOOST_TEST(toText(applyManifest(*this, "one\n", "alice").end) == "applied");
    const auto again = applyManifest(*this, "one\n", "bob");
    BOOST_TEST(toText(again.end) == "unchanged");
    BOOST_TEST(again.author == "alice");
    BOOST_TEST(puts == 1u);
}

BOOST_FIXTURE_TEST_CASE(ThenTheHeadNamesTheNewVersion, FakeAccess)
{
    const auto outcome = applyManifest(*this, "one\n", "alice");
    BOOST_REQUIRE(platform.stored(manifestHeadObject).has_value());
    BOOST_TEST(manifestHeadFromText(platform.stored(manifestHeadObject)->value).value_or(0) == outcome.version);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenAManifestOnThePlatform)

BOOST_AUTO_TEST_SUITE(WhenTwoOperatorsRace)

BOOST_FIXTURE_TEST_CASE(ThenTheOneWhoLosesIsToldWhoWon, FakeAccess)
{
    applyManifest(*this, "old\n", "alice");
    beforePut = [&] { applyElsewhere(*this, "theirs\n", "bob"); };
    const auto outcome = applyManifest(*this, "mine\n", "carol");
    BOOST_TEST(toText(outcome.end) == "lost-race");
    BOOST_TEST(outcome.author == "bob");
    BOOST_TEST(content() == "theirs\n# applied by bob\n");
}

BOOST_FIXTURE_TEST_CASE(ThenAnExpectedVersionThatIsPastLoses, FakeAccess)
{
    applyManifest(*this, "old\n", "alice");
    const auto before = version();
    applyManifest(*this, "theirs\n", "bob");
    BOOST_TEST(toText(applyManifest(*this, "mine\n", "carol", before).end) == "lost-race");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnAnswerIsLost)

BOOST_FIXTURE_TEST_CASE(ThenTheEffectIsReadBack, FakeAccess)
{
    applyManifest(*this, "old\n", "alice");
    platform.losesAnswers = true;
    const auto outcome = applyManifest(*this, "mine\n", "carol");
    BOOST_TEST(toText(outcome.end) == "applied");
    BOOST_TEST(outcome.version == version());
}

BOOST_FIXTURE_TEST_CASE(ThenAStaleReadDoesNotPassForAFailure, FakeAccess)
{
    applyManifest(*this, "old\n", "alice");
    platform.losesAnswers = true;
    platform.readsStale = true;
    BOOST_TEST(toText(applyManifest(*this, "mine\n", "carol").end) == "unknown");
    BOOST_TEST(content() == "mine\n# applied by carol\n");
}

BOOST_FIXTURE_TEST_CASE(ThenReadsThatAreStaleForAWhileDoNotMatter, FakeAccess)
{
    applyManifest(*this, "old\n", "alice");
    platform.losesAnswers = true;
    platform.readsStale = true;
    duringPause = [&] { platform.readsStale = pauses < 3; };
    BOOST_TEST(toText(applyManifest(*this, "mine\n", "carol").end) == "applied");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenThePlatformIsDown)

BOOST_FIXTURE_TEST_CASE(ThenNothingIsSaidToHaveHappened, FakeAccess)
{
    applyManifest(*this, "old\n", "alice");
    platform.down = true;
    BOOST_TEST(toText(applyManifest(*this, "mine\n", "carol").end) == "not-applied");
    BOOST_TEST(content() == "old\n# applied by alice\n");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenFaultsComeAndGo)

BOOST_AUTO_TEST_CASE(ThenAnEndThatIsCertainIsTrue)
{
    BOOST_TEST(rc::check("certain ends are true", [] {
        FakeAccess access;
        applyManifest(access, "old\n", "alice");
        const auto faults = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 16));
        size_t turn = 0;
        const auto setFaults = [&] {
            const int fault = turn < faults.size() ? faults[turn++] : 0;
            access.platform.losesAnswers = fault & 1;
            access.platform.readsStale = fault & 2;
            access.platform.down = fault & 4;
            if (fault & 8 && !access.platform.down)
                applyElsewhere(access, "theirs" + std::to_string(turn) + '\n', "bob");
        };
        access.beforePut = setFaults;
        access.duringPause = setFaults;
        const auto before = access.version();
        const auto outcome = applyManifest(access, "mine\n", "carol");
        RC_TAG(std::string(toText(outcome.end)));
        const std::string mine = "mine\n# applied by carol\n";
        const bool isMine = access.everStored.contains(mine);
        if (outcome.end == ApplyEnd::Applied)
            RC_ASSERT(isMine);
        if (outcome.end == ApplyEnd::NotApplied)
            RC_ASSERT(!isMine);
        if (outcome.end == ApplyEnd::LostRace)
            RC_ASSERT(access.content() != mine && access.version() > before);
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

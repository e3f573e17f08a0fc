// libraries: verdict
#include "verdict/Verdict.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Vanillaridge;

namespace {

const Hello entry { "127.0.0.1:7000", { 1 }, {}, 1 };
const RequestId request { NodeId::of(entry.endpoint), entry.boot, 1 };
const AttemptId attempt { request, 1 };
constexpr BootId guardBoot { 9 };

// One guard, whose clock the entry's stamps follow.
struct GuardFixture {
    ManualClock clock;
    Board board { { "127.0.0.1:7001", "zone", guardBoot, { 1 } } };
    GuardLimits limits { seconds(5), seconds(30), 2 };
    GuardLedger ledger { board, clock, limits };
    PeerClock entryClock { clock.now(), clock.now(), clock.now().time_since_epoch() };

    OpenRequest open(uint64_t sequence, Duration remaining = seconds(2)) const
    {
        OpenRequest message;
        message.context.attempt = { { request.entry, request.boot, sequence }, 1 };
        message.context.remaining = remaining;
        message.guard = guardBoot;
        message.sentAt = clock.now().time_since_epoch();
        return message;
    }
    Reason accept(const OpenRequest& message) { return ledger.accept(message, entry, entryClock); }
    VerdictKind ask(const OpenRequest& message, const Hello& sender = entry)
    {
        const VerdictQuery query { message.context.attempt, guardBoot, message.sentAt, message.context.remaining };
        return ledger.verdict(query, sender, entryClock).kind;
    }
};

// One entry with a request whose first attempt is under way.
struct EntryFixture {
    EntryFixture()
    {
        RequestContext context;
        context.attempt.request = request;
        ledger.open(context, {}, std::nullopt, true);
        ledger.beginAttempt(request, guardBoot, seconds(1));
    }

    Board board { { entry.endpoint, "zone", entry.boot, { 1 } } };
    EntryLedger ledger { board };
};

} // namespace

BOOST_AUTO_TEST_SUITE(GivenAnotherNodesClock)

BOOST_AUTO_TEST_CASE(ThenAMessagesAgeIsNeverUnderstated)
{
    BOOST_TEST(rc::check("the bound holds for any offset and any drift up to 900 parts in a million", [] {
        const auto span = [](int64_t most) { return Duration(*rc::gen::inRange<int64_t>(0, most)); };
        const double rate = 1 + *rc::gen::inRange(-900, 901) * 1e-6;
        const Duration offset = span(std::chrono::nanoseconds(std::chrono::hours(900)).count());
        const auto theirs = [&](Duration ours) {
            return offset + Duration(static_cast<int64_t>(static_cast<double>(ours.count()) * rate));
        };
        const Duration challenged = span(1'000'000'000);
        const Duration answered = challenged + span(1'000'000'000);
        const Duration ready
            = challenged + Duration(*rc::gen::inRange<int64_t>(0, (answered - challenged).count() + 1));
        const Duration sent = ready + span(100'000'000'000'000);
        const Duration handled = sent + span(100'000'000'000);
        const PeerClock clock(Instant(challenged), Instant(answered), theirs(ready));
        RC_ASSERT(clock.ageBound(theirs(sent), Instant(handled)) >= handled - sent - microseconds(1));
    }));
}

BOOST_AUTO_TEST_CASE(ThenARefreshTightensTheBoundAndNeverLoosensIt)
{
    PeerClock clock(Instant(seconds(1)), Instant(seconds(4)), seconds(104));
    BOOST_TEST((clock.ageBound(seconds(110), Instant(seconds(10))) >= seconds(3)));
    clock.refresh(Instant(seconds(9)), Instant(seconds(9)), seconds(109));
    BOOST_TEST((clock.ageBound(seconds(110), Instant(seconds(10))) == milliseconds(1)));
    clock.refresh(Instant(seconds(10)), Instant(seconds(12)), seconds(112));
    BOOST_TEST((clock.ageBound(seconds(112), Instant(seconds(12))) == milliseconds(3)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(GivenAGuard, GuardFixture)

BOOST_AUTO_TEST_SUITE(WhenItIsAskedAboutAnAttempt)

BOOST_AUTO_TEST_CASE(ThenOneThatStartedIsStartedForAsLongAsItIsRemembered)
{
    const auto message = open(1);
    BOOST_TEST((accept(message) == Reason::None));
    BOOST_TEST(ledger.start(message.context.attempt));
    BOOST_TEST(!ledger.start(message.context.attempt));
    BOOST_TEST((ask(message) == VerdictKind::Started));
    ledger.finish(message.context.attempt);
    BOOST_TEST((ask(message) == VerdictKind::Started));
    clock.advance(seconds(31));
    ledger.expire();
    BOOST_TEST((ask(message) == VerdictKind::Unknown));
}

BOOST_AUTO_TEST_CASE(ThenOneThatWaitsIsBarred)
{
    const auto message = open(1);
    BOOST_TEST((accept(message) == Reason::None));
    BOOST_TEST((ask(message) == VerdictKind::NotStarted));
    BOOST_TEST(!ledger.start(message.context.attempt));
    BOOST_TEST(board.attempts().size() == 0u);
}

BOOST_AUTO_TEST_CASE(ThenOneThatHasNotComeIsRefusedWheneverItComes)
{
    const auto message = open(1, std::chrono::minutes(1));
    BOOST_TEST((ask(message) == VerdictKind::NotStarted));
    for (int second = 0; second < 10; ++second) {
        ledger.expire();
        const auto reason = accept(message);
        BOOST_TEST((reason == Reason::Barred || reason == Reason::MessageTooOld));
        clock.advance(seconds(1));
    }
}

BOOST_AUTO_TEST_CASE(ThenNothingIsSaidOfAnotherRunOrToAnotherNode)
{
    const auto message = open(1);
    BOOST_TEST((ledger.verdict({ attempt, { 8 }, message.sentAt, seconds(2) }, entry, entryClock).kind
        == VerdictKind::Unknown));
    BOOST_TEST((ask(message, { "127.0.0.1:7009", { 1 }, {}, 1 }) == VerdictKind::Unknown));
    BOOST_TEST((ask(message, { entry.endpoint, { 2 }, {}, 1 }) == VerdictKind::Unknown));
    BOOST_TEST((accept(message) == Reason::None));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItsMemoryIsFull)

BOOST_AUTO_TEST_CASE(ThenItRefusesNewWorkAndForgetsNothing)
{
    BOOST_TEST((accept(open(1)) == Reason::None));
    BOOST_TEST((ask(open(2)) == VerdictKind::NotStarted));
    BOOST_TEST((accept(open(3)) == Reason::MemoryFull));
    BOOST_TEST((ask(open(4)) == VerdictKind::Unknown));
    BOOST_TEST((accept(open(2)) == Reason::Barred));
    clock.advance(seconds(10));
    ledger.expire();
    BOOST_TEST((accept(open(3)) == Reason::None));
}

BOOST_AUTO_TEST_CASE(ThenNewWorkIsRefusedBeforeCallsOfRunningRequests)
{
    GuardLedger nearlyFull(board, clock, { seconds(5), seconds(5), 10 });
    uint64_t sequence = 0;
    const auto offer = [&](uint32_t depth) {
        auto message = open(++sequence);
        message.context.depth = depth;
        return nearlyFull.accept(message, entry, entryClock);
    };
    while (sequence < 9)
        BOOST_TEST((offer(1) == Reason::None));
    BOOST_TEST((offer(1) == Reason::MemoryFull));
    BOOST_TEST((offer(2) == Reason::None));
    BOOST_TEST((offer(2) == Reason::MemoryFull));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAttemptsComeAsFastAsItsProcessorCanPassThemOn)

BOOST_AUTO_TEST_CASE(ThenNoneIsRefusedForWhatIsRemembered)
{
    // Half a core, at a tenth of a millisecond for each attempt.
    constexpr uint64_t attemptsPerSecond = 5000;
    GuardLedger busy(board, clock);
    size_t refused = 0;
    for (uint64_t sequence = 1; sequence <= 40 * attemptsPerSecond; ++sequence) {
        const auto message = open(sequence, seconds(1));
        refused += busy.accept(message, entry, entryClock) != Reason::None;
        busy.start(message.context.attempt);
        busy.finish(message.context.attempt);
        clock.advance(Duration(seconds(1)) / attemptsPerSecond);
        if (sequence % attemptsPerSecond == 0)
            busy.expire();
    }
    BOOST_TEST(refused == 0u);
}

BOOST_AUTO_TEST_CASE(ThenLongDeadlinesDoNotMakeItRememberForLonger)
{
    // Short attempts whose callers would wait for ten minutes; three quarters of what half a minute has room for.
    constexpr uint64_t attemptsPerSecond = 2500;
    GuardLedger busy(board, clock);
    size_t refused = 0;
    for (uint64_t sequence = 1; sequence <= 60 * attemptsPerSecond; ++sequence) {
        const auto message = open(sequence, std::chrono::minutes(10));
        refused += busy.accept(message, entry, entryClock) != Reason::None;
        busy.start(message.context.attempt);
        busy.finish(message.context.attempt);
        clock.advance(Duration(seconds(1)) / attemptsPerSecond);
        if (sequence % attemptsPerSecond == 0)
            busy.expire();
    }
    BOOST_TEST(refused == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(GivenARequestThatWaitsForItsAnswer, EntryFixture)

BOOST_AUTO_TEST_CASE(ThenOnlyItsOwnGuardsRunAndAttemptMayAnswerAndOnlyOnce)
{
    BOOST_TEST(!ledger.takeAnswer(attempt, { { request, 2 }, guardBoot, 200, {}, false, {}, 0 }));
    BOOST_TEST(!ledger.takeAnswer(attempt, { attempt, { 8 }, 200, {}, false, {}, 0 }));
    BOOST_TEST(!ledger.takeAnswer({ request, 2 }, { { request, 2 }, guardBoot, 200, {}, false, {}, 0 }));
    BOOST_TEST(ledger.takeAnswer(attempt, { attempt, guardBoot, 200, {}, false, {}, 0 }));
    BOOST_TEST(!ledger.takeAnswer(attempt, { attempt, guardBoot, 200, {}, false, {}, 0 }));
}

BOOST_AUTO_TEST_CASE(ThenOnlyItsOwnGuardsRunAndAttemptMayRefuse)
{
    BOOST_TEST(!ledger.refused(attempt, { { request, 2 }, guardBoot, Reason::Draining, false, {}, {}, 0 }, true));
    BOOST_TEST(!ledger.refused(attempt, { attempt, { 8 }, Reason::Draining, false, {}, {}, 0 }, true));
    const auto decision = ledger.refused(attempt, { attempt, guardBoot, Reason::Draining, false, {}, {}, 0 }, true);
    BOOST_REQUIRE(decision);
    BOOST_TEST((decision->step == NextStep::TryAnotherServer));
}

BOOST_AUTO_TEST_CASE(ThenItsEndIsDecidedOnce)
{
    const auto decision = ledger.ended(attempt, AttemptEnd::TimedOut, false);
    BOOST_TEST((decision->step == NextStep::AskForVerdict));
    BOOST_TEST(!ledger.ended(attempt, AttemptEnd::ConnectionLost, true));
    const auto last = ledger.judged({ attempt, VerdictKind::NotStarted }, false);
    BOOST_TEST((last->reason == Reason::DeadlineExceeded));
    BOOST_TEST(!ledger.judged({ attempt, VerdictKind::Started }, false));
    BOOST_TEST(!ledger.takeAnswer(attempt, { attempt, guardBoot, 200, {}, false, {}, 0 }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenAnyEndOfAnAttempt)

BOOST_AUTO_TEST_CASE(ThenTheDecisionIsHonestAndSafe)
{
    BOOST_TEST(rc::check("no not-run after a doubt, no second start without idempotency", [] {
        const auto end = static_cast<AttemptEnd>(*rc::gen::inRange(0, static_cast<int>(AttemptEnd::Count)));
        const auto refusal = static_cast<Reason>(*rc::gen::inRange<size_t>(1, reasonCount));
        const auto earlier = *rc::gen::element(Reason::None, Reason::ConnectionLost, Reason::Timeout);
        const RequestFacts facts { *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(),
            *rc::gen::arbitrary<bool>(), earlier };
        const auto decision = decideAfter(end, refusal, facts);
        const bool provedNotRun = end == AttemptEnd::NeverSent || end == AttemptEnd::RefusedNotStarted
            || end == AttemptEnd::ConnectionLostNotStarted || end == AttemptEnd::TimedOutNotStarted;
        if (!provedNotRun || earlier != Reason::None)
            RC_ASSERT(row(decision.reason).outcome == Outcome::Unknown);
        if (decision.step == NextStep::TryAnotherServer)
            RC_ASSERT(facts.retryAllowed && facts.bodyReplayable && (facts.idempotent || provedNotRun));
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenACallersIdempotencyKey)

BOOST_AUTO_TEST_CASE(ThenARepeatIsRecognisedUntilItIsForgotten)
{
    ManualClock clock;
    Board board({ entry.endpoint, "zone", entry.boot, { 1 } });
    Duplicates duplicates(board, clock, { 2 });
    const RequestId second { request.entry, request.boot, 2 };
    const auto kind
        = [&](std::string_view account, std::string_view key) { return duplicates.begin(account, key, second).kind; };
    BOOST_TEST((duplicates.begin("a", "k", request).kind == DuplicateKind::First));
    BOOST_TEST((kind("a", "k") == DuplicateKind::InProgress));
    // One that has not run does not stand in the way of its repeat.
    duplicates.end("a", "k", request, Outcome::NotRun, 0);
    BOOST_TEST((duplicates.begin("a", "k", request).kind == DuplicateKind::First));
    duplicates.end("a", "k", second, Outcome::NotRun, 0);
    BOOST_TEST((kind("a", "k") == DuplicateKind::InProgress));
    duplicates.end("a", "k", request, Outcome::Served, 201);
    BOOST_TEST(duplicates.begin("a", "k", second).status == 201);
    // Another account's key of the same text is another key; at the bound further ones are refused.
    BOOST_TEST((kind("ak", "") == DuplicateKind::First));
    BOOST_TEST((kind("b", "k") == DuplicateKind::NoRoom));
    BOOST_TEST((kind("a", "k") == DuplicateKind::Answered));
    clock.advance(Policy().duplicateMemory);
    duplicates.expire();
    BOOST_TEST((kind("a", "k") == DuplicateKind::First));
}

BOOST_AUTO_TEST_SUITE_END()

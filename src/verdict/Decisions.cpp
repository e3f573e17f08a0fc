#include "verdict/Verdict.h"

namespace Vanillaridge {

namespace {

    // When another server may be tried, if time, budget and body allow.
    enum class RetryRule : uint8_t { Never, IfIdempotent, IfWorthwhile, Always };

    // One row for each end, in the order of the enumeration.
    struct EndRow {
        AttemptEnd end;
        bool mayHaveRun;
        // Whether a verdict could still tell that it has not run.
        bool verdictHelps;
        RetryRule retry;
        // None: the guard's own reason.
        Reason reason;
        AttemptEnd withNotStarted;
        AttemptEnd withoutVerdict;
    };

    using enum AttemptEnd;
    constexpr std::array<EndRow, static_cast<size_t>(AttemptEnd::Count)> endRows { {
        { NeverSent, false, false, RetryRule::Always, Reason::PeerUnreachable, NeverSent, NeverSent },
        { RefusedNotStarted, false, false, RetryRule::IfWorthwhile, Reason::None, RefusedNotStarted,
            RefusedNotStarted },
        { RefusedStarted, true, false, RetryRule::IfIdempotent, Reason::None, RefusedStarted, RefusedStarted },
        { ConnectionLost, true, true, RetryRule::IfIdempotent, Reason::ConnectionLost, ConnectionLostNotStarted,
            ConnectionLostWithoutVerdict },
        { TimedOut, true, true, RetryRule::Never, Reason::Timeout, TimedOutNotStarted, TimedOutWithoutVerdict },
        { AnswerCutShort, true, false, RetryRule::Never, Reason::AnswerCutShort, AnswerCutShort, AnswerCutShort },
        { ConnectionLostNotStarted, false, false, RetryRule::Always, Reason::PeerUnreachable, ConnectionLostNotStarted,
            ConnectionLostNotStarted },
        { ConnectionLostWithoutVerdict, true, false, RetryRule::IfIdempotent, Reason::ConnectionLost,
            ConnectionLostWithoutVerdict, ConnectionLostWithoutVerdict },
        { TimedOutNotStarted, false, false, RetryRule::Never, Reason::DeadlineExceeded, TimedOutNotStarted,
            TimedOutNotStarted },
        { TimedOutWithoutVerdict, true, false, RetryRule::Never, Reason::Timeout, TimedOutWithoutVerdict,
            TimedOutWithoutVerdict },
    } };

    const EndRow& rowOf(AttemptEnd end) { return endRows[static_cast<size_t>(end)]; }

    bool mayRetry(const EndRow& end, Reason refusal, const RequestFacts& facts)
    {
        if (!facts.retryAllowed || !facts.bodyReplayable)
            return false;
        switch (end.retry) {
        case RetryRule::Never:
            return false;
        case RetryRule::IfIdempotent:
            return facts.idempotent;
        case RetryRule::IfWorthwhile:
            return row(refusal).worthAnotherServer;
        case RetryRule::Always:
            return true;
        }
        return false;
    }

    // A reason for "may have run" in place of one that says "not run".
    Reason asUnknown(Reason reason)
    {
        if (row(reason).outcome == Outcome::Unknown)
            return reason;
        return reason == Reason::DeadlineExceeded ? Reason::Timeout : Reason::ConnectionLost;
    }

    // What to tell the caller about this attempt and all before it.
    Reason honestReason(const EndRow& end, Reason refusal, Reason earlier)
    {
        const Reason own = end.reason == Reason::None ? refusal : end.reason;
        if (end.mayHaveRun)
            return asUnknown(own);
        return earlier == Reason::None ? own : asUnknown(earlier);
    }

} // namespace

AttemptEnd withVerdict(AttemptEnd end, VerdictKind kind)
{
    return kind == VerdictKind::NotStarted ? rowOf(end).withNotStarted : rowOf(end).withoutVerdict;
}

Decision decideAfter(AttemptEnd attemptEnd, Reason refusal, const RequestFacts& facts)
{
    const auto& end = rowOf(attemptEnd);
    const Reason reason = honestReason(end, refusal, facts.mayHaveRun);
    if (attemptEnd == AttemptEnd::AnswerCutShort)
        return { NextStep::AbortAnswer, reason };
    if (mayRetry(end, refusal, facts))
        return { NextStep::TryAnotherServer, reason };
    if (end.verdictHelps && facts.mayHaveRun == Reason::None)
        return { NextStep::AskForVerdict, reason };
    return { NextStep::AnswerCaller, reason };
}

} // namespace Vanillaridge

#include "verdict/Verdict.h"

namespace Vanillaridge {

namespace {

    // Whether this is the attempt that the request waits for.
    bool isPresent(const EntryRecord& record, const AttemptId& attempt)
    {
        return record.context.attempt == attempt && attempt.number > 0;
    }

    // Whether the attempt's end is still open: no answer has begun, and nothing has been decided.
    bool isOpen(const EntryRecord& record)
    {
        return record.state == EntryState::Sent || record.state == EntryState::Asking;
    }

    // Decides, and writes down what the request waits for next.
    Decision conclude(EntryRecord& record, AttemptEnd end, Reason refusal, bool retryAllowed)
    {
        const auto decision = decideAfter(
            end, refusal, { record.context.idempotent, record.bodyReplayable, retryAllowed, record.mayHaveRun });
        record.state = decision.step == NextStep::AskForVerdict ? EntryState::Asking : EntryState::Decided;
        if (decision.step == NextStep::TryAnotherServer && row(decision.reason).outcome == Outcome::Unknown)
            record.mayHaveRun = decision.reason;
        return decision;
    }

} // namespace

EntryLedger::EntryLedger(Board& board)
    : m_board(board)
{
}

void EntryLedger::open(
    const RequestContext& context, Instant deadline, std::optional<RequestId> parent, bool bodyReplayable)
{
    m_board.entries().update(context.attempt.request, [&](EntryRecord& record) {
        record.context = context;
        record.deadline = deadline;
        record.parent = parent;
        record.bodyReplayable = bodyReplayable;
    });
}

std::optional<AttemptId> EntryLedger::beginAttempt(const RequestId& request, BootId guard, Duration openedAt)
{
    std::optional<AttemptId> attempt;
    m_board.entries().visit(request, [&](EntryRecord& record) {
        if (record.state != EntryState::Decided)
            return;
        record.state = EntryState::Sent;
        ++record.context.attempt.number;
        record.guard = guard;
        record.openedAt = openedAt;
        attempt = record.context.attempt;
    });
    return attempt;
}

bool EntryLedger::takeAnswer(const AttemptId& expected, const AnswerHead& head)
{
    bool taken = false;
    m_board.entries().visit(expected.request, [&](EntryRecord& record) {
        taken = head.attempt == expected && isPresent(record, expected) && record.guard == head.guard && isOpen(record);
        if (taken)
            record.state = EntryState::Answering;
    });
    return taken;
}

void EntryLedger::finishAnswer(const AttemptId& attempt)
{
    m_board.entries().visit(attempt.request, [&](EntryRecord& record) {
        if (isPresent(record, attempt) && record.state == EntryState::Answering)
            record.state = EntryState::Decided;
    });
}

std::optional<Decision> EntryLedger::refused(const AttemptId& expected, const Refusal& refusal, bool retryAllowed)
{
    std::optional<Decision> decision;
    m_board.entries().visit(expected.request, [&](EntryRecord& record) {
        if (refusal.attempt != expected || !isPresent(record, expected) || record.guard != refusal.guard)
            return;
        if (!isOpen(record))
            return;
        const bool mayHaveRun = refusal.started || row(refusal.reason).outcome != Outcome::NotRun;
        const auto end = mayHaveRun ? AttemptEnd::RefusedStarted : AttemptEnd::RefusedNotStarted;
        decision = conclude(record, end, refusal.reason, retryAllowed);
    });
    return decision;
}

std::optional<Decision> EntryLedger::ended(const AttemptId& attempt, AttemptEnd end, bool retryAllowed)
{
    std::optional<Decision> decision;
    m_board.entries().visit(attempt.request, [&](EntryRecord& record) {
        if (!isPresent(record, attempt))
            return;
        if (record.state == EntryState::Answering)
            decision = conclude(record, AttemptEnd::AnswerCutShort, Reason::None, false);
        else if (record.state == EntryState::Sent)
            decision = conclude(record, end, Reason::None, retryAllowed);
        if (decision && decision->step == NextStep::AskForVerdict)
            record.doubt = end;
    });
    return decision;
}

std::optional<VerdictQuery> EntryLedger::verdictQuery(const AttemptId& attempt)
{
    std::optional<VerdictQuery> query;
    m_board.entries().visit(attempt.request, [&](const EntryRecord& record) {
        if (isPresent(record, attempt) && isOpen(record))
            query = VerdictQuery { attempt, record.guard, record.openedAt, record.deadline - Instant(record.openedAt) };
    });
    return query;
}

std::optional<Decision> EntryLedger::judged(const VerdictReply& reply, bool retryAllowed)
{
    static constexpr std::array<Counter, 3> counters { Counter::VerdictsNotStarted, Counter::VerdictsStarted,
        Counter::VerdictsUnknown };
    std::optional<Decision> decision;
    m_board.entries().visit(reply.attempt.request, [&](EntryRecord& record) {
        if (isPresent(record, reply.attempt) && record.state == EntryState::Asking)
            decision = conclude(record, withVerdict(record.doubt, reply.kind), Reason::None, retryAllowed);
    });
    if (decision)
        m_board.counters().add(counters[static_cast<size_t>(reply.kind)]);
    return decision;
}

void EntryLedger::close(const RequestId& request) { m_board.entries().erase(request); }

} // namespace Vanillaridge

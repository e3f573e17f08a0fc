#include "verdict/Verdict.h"

#include <algorithm>
#include <cmath>

namespace Vanillaridge {

namespace {

    // Share of the bound on remembered attempts from which on new work is refused, so that running requests still get
    // their calls.
    constexpr double shareForNewWork = 0.9;

    // Whether the attempt belongs to a request that entered at this run of this node.
    bool isOwn(const AttemptId& attempt, const Hello& sender)
    {
        return attempt.request.boot == sender.boot && attempt.request.entry == NodeId::of(sender.endpoint);
    }

    bool hasStarted(AttemptState state) { return state == AttemptState::Started || state == AttemptState::Finished; }

} // namespace

GuardLedger::GuardLedger(Board& board, const Clock& clock, GuardLimits limits)
    : m_board(board)
    , m_clock(clock)
    , m_limits(limits)
{
}

// A message that opens a barred attempt left before the attempt was barred, and is refused once it is older than
// maximumOpenAge: by then nothing more can start it.
Duration GuardLedger::barredMemory() const { return m_limits.maximumOpenAge; }

// Counts one more record, if there is room: what is remembered is never given up for something new.
bool GuardLedger::reserve(double share)
{
    const auto bound = static_cast<size_t>(std::ceil(share * static_cast<double>(m_limits.attempts)));
    if (m_remembered.fetch_add(1, std::memory_order_relaxed) < bound)
        return true;
    release(1);
    return false;
}

void GuardLedger::release(size_t records) { m_remembered.fetch_sub(records, std::memory_order_relaxed); }

// How long an attempt is remembered that had this long when it was sent.
Duration GuardLedger::memoryOf(Duration remaining) const
{
    return std::min(remaining + m_limits.memoryAfterDeadline, m_limits.longestMemory);
}

// Whether an attempt that had this long when it was sent, so long ago, may have run and be forgotten.
bool GuardLedger::mayBeForgotten(Duration age, Duration remaining) const { return age >= memoryOf(remaining); }

// Why an open request of this age is not taken. One that is older than our memory may be a repeat of an attempt that
// ran and is forgotten, so nothing can be said about it.
Reason GuardLedger::refusalForAge(Duration age, Duration remaining) const
{
    if (mayBeForgotten(age, remaining))
        return Reason::Timeout;
    if (age >= m_limits.maximumOpenAge)
        return Reason::MessageTooOld;
    return remaining <= age ? Reason::DeadlineExceeded : Reason::None;
}

Reason GuardLedger::accept(const OpenRequest& message, const Hello& sender, const PeerClock& senderClock)
{
    // 1. Refuse what is not the sender's. Of what was meant for an earlier run of this node nothing is known.
    const auto& context = message.context;
    if (!isOwn(context.attempt, sender))
        return Reason::BadRequest;
    if (message.guard != m_board.self().boot)
        return Reason::ConnectionLost;

    // 2. Enter it, unless it is known: repeated, or barred before it came. One that is refused is entered as barred, so
    // that a repeat of it is refused as well. Its age is taken under the lock, so that it cannot grow in between.
    Instant now;
    Instant deadline;
    const Reason refusal = m_board.verdicts().with(context.attempt, [&](auto& map) {
        const auto known = map.find(context.attempt);
        if (known != map.end())
            return known->second.state == AttemptState::Barred ? Reason::Barred : Reason::Duplicate;
        now = m_clock.now();
        const Duration age = senderClock.ageBound(message.sentAt, now);
        const Reason reason = refusalForAge(age, context.remaining);
        if (reason == Reason::Timeout)
            return reason;
        if (!reserve(isNewWork(context) ? shareForNewWork : 1))
            return Reason::MemoryFull;
        deadline = now + context.remaining - age;
        const auto state = reason == Reason::None ? AttemptState::Waiting : AttemptState::Barred;
        const auto forgetAt = now + memoryOf(context.remaining);
        map.emplace(context.attempt, VerdictRecord { state, deadline, forgetAt, false });
        return reason;
    });
    if (refusal != Reason::None)
        return refusal;

    // 3. Let others see what waits here.
    m_board.attempts().update(context.attempt, [&](AttemptRecord& attempt) {
        attempt.context = context;
        attempt.deadline = deadline;
        attempt.stateSince = now;
    });
    return Reason::None;
}

bool GuardLedger::start(const AttemptId& id)
{
    Instant now;
    bool started = false;
    m_board.verdicts().visit(id, [&](VerdictRecord& record) {
        now = m_clock.now();
        if (record.state != AttemptState::Waiting || record.deadline <= now)
            return;
        record.state = AttemptState::Started;
        started = true;
    });
    if (!started)
        return false;
    m_board.attempts().visit(id, [&](AttemptRecord& attempt) {
        attempt.state = AttemptState::Started;
        attempt.stateSince = now;
    });
    return true;
}

void GuardLedger::finish(const AttemptId& id)
{
    bool finished = false;
    m_board.verdicts().visit(id, [&](VerdictRecord& record) {
        finished = record.state == AttemptState::Started;
        if (!finished)
            return;
        record.state = AttemptState::Finished;
    });
    if (finished)
        m_board.attempts().erase(id);
}

void GuardLedger::disclaim(const AttemptId& id)
{
    const Instant forgetAt = m_clock.now() + barredMemory();
    m_board.verdicts().visit(id, [&](VerdictRecord& record) {
        if (record.state != AttemptState::Started)
            return;
        record.state = AttemptState::Barred;
        record.forgetAt = forgetAt;
    });
    m_board.attempts().erase(id);
}

VerdictKind GuardLedger::bar(const AttemptId& id) { return stop(id, false); }

VerdictKind GuardLedger::cancel(const AttemptId& id) { return stop(id, true); }

VerdictKind GuardLedger::stop(const AttemptId& id, bool cancelled)
{
    const Instant forgetAt = m_clock.now() + barredMemory();
    auto kind = VerdictKind::Unknown;
    m_board.verdicts().visit(id, [&](VerdictRecord& record) {
        kind = hasStarted(record.state) ? VerdictKind::Started : VerdictKind::NotStarted;
        record.cancelled |= cancelled;
        if (record.state != AttemptState::Waiting)
            return;
        record.state = AttemptState::Barred;
        record.forgetAt = forgetAt;
    });
    if (kind == VerdictKind::NotStarted)
        m_board.attempts().erase(id);
    else if (cancelled)
        m_board.attempts().visit(id, [](AttemptRecord& attempt) { attempt.cancelled = true; });
    return kind;
}

VerdictReply GuardLedger::verdict(const VerdictQuery& query, const Hello& sender, const PeerClock& senderClock)
{
    VerdictReply reply { query.attempt, VerdictKind::Unknown };
    if (query.guard == m_board.self().boot && isOwn(query.attempt, sender))
        reply.kind = judge(query, senderClock);
    return reply;
}

// A known attempt is judged by its record. An unknown one has never started if it is young enough that its record
// would still be here; it is barred before anybody is told so.
VerdictKind GuardLedger::judge(const VerdictQuery& query, const PeerClock& senderClock)
{
    const auto known = stop(query.attempt, false);
    if (known != VerdictKind::Unknown)
        return known;
    if (!reserve())
        return VerdictKind::Unknown;
    bool isKnown = false;
    const bool barred = m_board.verdicts().with(query.attempt, [&](auto& map) {
        const Instant now = m_clock.now();
        isKnown = map.contains(query.attempt);
        if (isKnown || mayBeForgotten(senderClock.ageBound(query.openedAt, now), query.remaining))
            return false;
        map.emplace(query.attempt, VerdictRecord { AttemptState::Barred, {}, now + barredMemory(), false });
        return true;
    });
    if (barred)
        return VerdictKind::NotStarted;
    release(1);
    return isKnown ? stop(query.attempt, false) : VerdictKind::Unknown;
}

void GuardLedger::expire()
{
    const Instant now = m_clock.now();
    const size_t forgotten = m_board.verdicts().eraseIf([&](const AttemptId&, const VerdictRecord& record) {
        return record.state != AttemptState::Started && record.forgetAt <= now;
    });
    release(forgotten);
}

} // namespace Vanillaridge

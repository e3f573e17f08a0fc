#include "node/GuardAttempt.h"

#include "log/Log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace Vanillaridge {

using ErrorCode = boost::system::error_code;

namespace {

    constexpr Duration connectPatience = seconds(1);
    /// Room for body bytes beyond the first, once the backend server works on the request: halved until there is room
    /// for it among the buffers of this node, and nothing below the least.
    constexpr size_t startedBodyCredit = 192 * 1024;
    constexpr size_t leastStartedBodyCredit = 24 * 1024;

    bool signalsOverload(uint16_t status) { return status == 429 || status == 503; }
    bool isFailure(uint16_t status) { return status >= 500; }

    CompletionStatus endOf(uint16_t status)
    {
        if (signalsOverload(status))
            return CompletionStatus::Overloaded;
        return isFailure(status) ? CompletionStatus::Failed : CompletionStatus::Served;
    }

} // namespace

GuardAttempt::GuardAttempt(Parts& parts, Strand strand, MessageStreamPointer stream, OpenRequest open)
    : m_parts(parts)
    , m_strand(std::move(strand))
    , m_stream(std::move(stream))
    , m_open(std::move(open))
    , m_label(parts.dialect.labelIn(m_open.headers))
    , m_timer(m_strand)
    , m_admissionDecided(std::make_shared<Event>())
    , m_hold(&parts.buffers, BufferSide::Attempts)
{
}

Task<void> GuardAttempt::run(const PeerClock& senderClock)
{
    const auto self = shared_from_this();

    // 1. Whether this attempt may be taken at all. A repeated message needs no answer beside the first one's.
    auto reason = m_parts.control.guardLedger.accept(m_open, m_stream->peer(), senderClock);
    if (reason == Reason::Duplicate)
        co_return;
    if (reason == Reason::None && !holdBody())
        reason = Reason::MemoryFull;
    if (reason != Reason::None) {
        refuse(reason, false);
        co_return;
    }
    m_acceptedAt = m_parts.clock.now();
    m_deadline = m_acceptedAt + context().remaining;
    m_parts.board.attempts().visit(id(), [&](const AttemptRecord& record) { m_deadline = record.deadline; });
    enterLabel();

    // 2. What the entry sends meanwhile is read on the side.
    startReading();
    watchDeadline();
    co_await serveAccepted();

    // 3. Whoever still reads or writes for it is told that it is over.
    m_ended = true;
    m_timer.cancel();
    m_pieceCame.close();
    m_stream->close();
    if (m_sendingBody) {
        m_call->abort();
        co_await m_bodyDone.wait();
    }
    removeLabel();
    report();
}

// Calls that the backend server makes for this attempt may carry an id that extends the label.
void GuardAttempt::enterLabel()
{
    if (!m_label.empty())
        m_parts.board.attemptsByLabel().update(m_label, [&](AttemptId& attempt) { attempt = id(); });
}

// A later attempt of the same request may have taken the label over.
void GuardAttempt::removeLabel()
{
    if (m_label.empty())
        return;
    m_parts.board.attemptsByLabel().with(m_label, [&](auto& labels) {
        const auto found = labels.find(m_label);
        if (found != labels.end() && found->second == id())
            labels.erase(found);
    });
}

// One line for the attempt: what the guard decided, and what decided it.
void GuardAttempt::report() const
{
    const auto now = m_parts.clock.now();
    const bool hasStarted = m_startedAt != Instant();
    const auto waited = (hasStarted ? m_startedAt : now) - m_acceptedAt;
    const auto served = hasStarted ? now - m_startedAt : Duration(0);
    m_parts.latencies.queued.record(waited);
    if (hasStarted)
        m_parts.latencies.server.record(served);

    const auto label = m_label.empty() ? toText(id()) : m_label;
    const auto kind = m_end == Reason::None ? LogClass::Routine : LogClass::Failure;
    if (!wantsRequestLine(kind, label))
        return;
    const auto load = m_parts.control.admission.feedback(context().service);
    const auto limit = m_parts.control.admission.limitReport(context().service);
    logRequest(kind, "attempt",
        { { "id", label }, { "attempt", toText(id()) }, { "entry", m_stream->peer().endpoint },
            { "server", m_instance }, { "service", context().service }, { "rank", toText(context().rank) },
            { "reason", toText(m_end) }, { "started", hasStarted }, { "status", m_status },
            { "allowed-ms", inMilliseconds(m_deadline - m_acceptedAt) }, { "waited-ms", inMilliseconds(waited) },
            { "server-ms", inMilliseconds(served) }, { "expected-ms", inMilliseconds(m_admission.expected) },
            { "running", load.running }, { "waiting", load.waiting }, { "limit", load.limit },
            { "limit-by", toText(limit.cause) }, { "rejected-share", limit.rejectedShare },
            { "shed-level", load.shedLevel }, { "lag-ms", inMilliseconds(m_parts.board.lag()) } });
}

// Temporaries with owners in them are made in plain functions: see the developers' page.
void GuardAttempt::startReading()
{
    boost::asio::co_spawn(m_strand, readMessages(shared_from_this()), boost::asio::detached);
}

Task<void> GuardAttempt::serveAccepted()
{
    // 1. A backend server beside this node.
    Endpoint server;
    const auto missing = findServer(server);
    if (missing != Reason::None) {
        refuse(missing, false);
        co_return;
    }

    // 2. Room at it.
    const auto admission = co_await awaitAdmission();
    if (admission.verdict != AdmissionVerdict::Admitted) {
        refuse(admission.reason, false, admission.retryAfter);
        co_return;
    }
    if (m_cancelled != Reason::None) {
        endAdmission(CompletionStatus::Cancelled);
        refuse(m_cancelled, false);
        co_return;
    }
    co_await callBackend(server);
}

Reason GuardAttempt::findServer(Endpoint& endpoint)
{
    if (m_parts.board.refusesNewWork())
        return Reason::Draining;
    Reason reason = Reason::Draining;
    m_parts.board.localServers().visit(context().service, [&](const LocalServerRecord& record) {
        reason = record.announcement.draining ? Reason::Draining : Reason::None;
        endpoint = record.endpoint;
        m_instance = record.instance;
    });
    return reason;
}

// --- Admission ------------------------------------------------------------------------------------------------------

Task<AdmissionDecision> GuardAttempt::awaitAdmission()
{
    // 1. Ready to be told before the offer, since the decision may come from another thread at once.
    auto& control = m_parts.control;
    awaitDecision();
    m_admission = control.admission.offer(context(), m_deadline);

    // 2. Waiting ends with a decision, or because nobody waits for the answer any more.
    if (m_admission.verdict == AdmissionVerdict::Waiting) {
        m_waiting = true;
        control.waiters.noteWaiting();
        co_await m_admissionDecided->wait();
        m_waiting = false;
    }
    control.waiters.remove(id());
    if (m_admission.verdict != AdmissionVerdict::Waiting)
        co_return m_admission;

    // 3. Given up. It may have been admitted just before, and then holds a slot.
    endAdmission(CompletionStatus::Cancelled);
    co_return AdmissionDecision { AdmissionVerdict::Refused, m_cancelled, Duration(0) };
}

void GuardAttempt::awaitDecision()
{
    m_parts.control.waiters.add(id(),
        [decided = m_admissionDecided, weak = weak_from_this(), strand = m_strand](const AdmissionDecision& decision) {
            boost::asio::post(strand, [decided, weak, decision] {
                if (const auto self = weak.lock())
                    self->m_admission = decision;
                decided->set();
            });
        });
}

// Frees the slot, and starts whoever has waited for it.
void GuardAttempt::endAdmission(CompletionStatus end)
{
    auto& control = m_parts.control;
    control.admission.finished(context().service, id(), end);
    control.waiters.tell(control.admission.processQueues());
}

// --- The backend server ---------------------------------------------------------------------------------------------

Task<void> GuardAttempt::callBackend(const Endpoint& server)
{
    // 1. A connection. Until one is there nothing has been sent.
    m_call = co_await m_parts.backends.connect(server, m_strand, connectPatience);
    if (!m_call) {
        endAdmission(CompletionStatus::Overloaded);
        refuse(Reason::BackendUnreachable, false);
        co_return;
    }

    // 2. It may have waited while the backend server left, or gave its place to another.
    const auto instance = m_instance;
    Endpoint present;
    if (findServer(present) != Reason::None || present != server || m_instance != instance) {
        endAdmission(CompletionStatus::Cancelled);
        refuse(Reason::Draining, false);
        co_return;
    }

    // 3. From here on the request may run.
    if (!m_parts.control.guardLedger.start(id())) {
        endAdmission(CompletionStatus::Cancelled);
        const bool late = m_parts.clock.now() >= m_deadline;
        refuse(m_cancelled != Reason::None ? m_cancelled : late ? Reason::DeadlineExceeded : Reason::Barred, false);
        co_return;
    }
    m_startedAt = m_parts.clock.now();
    if (!context().idempotent)
        m_stream->waitThroughSilence({});
    m_sent = headForBackend();
    const bool written = co_await m_call->writeHead(m_sent);
    if (written) {
        if (m_open.hasBody)
            startSendingBody();
        co_await passAnswer();
    } else {
        endAdmission(CompletionStatus::Failed);
        refuse(m_cancelled != Reason::None ? m_cancelled : Reason::ConnectionLost, true);
    }
    m_parts.control.guardLedger.finish(id());
}

// Temporaries with owners in them are made in plain functions: see the developers' page.
BackendCall::StrayTest GuardAttempt::strayTest()
{
    return [this](const ReplyHead& head) {
        m_answerKind = m_parts.dialect.judge(m_sent, head);
        return m_answerKind == AnswerKind::Stray;
    };
}

// The part of the body that the entry may send before the backend server works on the request.
bool GuardAttempt::holdBody()
{
    constexpr uint64_t most = initialBodyCredit;
    return !m_open.hasBody || m_hold.resize(std::min(most, m_open.contentLength.value_or(most)));
}

// Makes room for more of a long body; returns how much.
size_t GuardAttempt::holdMore()
{
    const auto held = m_hold.bytes();
    const auto rest
        = m_open.contentLength ? *m_open.contentLength - std::min(held, *m_open.contentLength) : startedBodyCredit;
    for (size_t more = startedBodyCredit; more >= leastStartedBodyCredit; more /= 2) {
        if (m_hold.resize(held + std::min<uint64_t>(more, rest)))
            return more;
    }
    return 0;
}

void GuardAttempt::startSendingBody()
{
    m_sendingBody = true;
    m_stream->grantCredit(holdMore());
    boost::asio::co_spawn(m_strand, sendBody(shared_from_this()), boost::asio::detached);
}

RequestHead GuardAttempt::headForBackend() const
{
    RequestHead head { m_open.method, m_open.target, m_open.headers, m_open.hasBody, m_open.contentLength };
    const auto now = m_parts.clock.now();
    auto remaining = m_deadline - now;
    // A backend server gives its own answer at its deadline, so none is later than a stop that is under way here.
    if (const auto beforeStop = m_parts.board.timeBeforeStop(now))
        remaining = std::min(remaining, std::max<Duration>(*beforeStop, milliseconds(1)));
    m_parts.dialect.addGuardHeaders({ context(), remaining, m_instance }, head.headers);
    return head;
}

Task<void> GuardAttempt::passAnswer()
{
    // 1. The head.
    auto head = co_await m_call->readHead(strayTest());
    if (!head) {
        endAdmission(m_cancelled != Reason::None ? CompletionStatus::Cancelled : CompletionStatus::Failed);
        refuse(m_cancelled != Reason::None ? m_cancelled : Reason::ConnectionLost, true);
        co_return;
    }
    if (m_answerKind != AnswerKind::Genuine) {
        const bool hasNotRun = m_answerKind == AnswerKind::NotRun;
        m_call->abort();
        endAdmission(hasNotRun ? CompletionStatus::Overloaded : CompletionStatus::Failed);
        if (hasNotRun)
            m_parts.control.guardLedger.disclaim(id());
        refuse(hasNotRun ? Reason::ServerBusy : Reason::AnswerCutShort, !hasNotRun);
        co_return;
    }
    AnswerHead answer;
    answer.attempt = id();
    answer.guard = m_parts.board.self().boot;
    answer.status = head->status;
    m_status = head->status;
    answer.headers = std::move(head->headers);
    std::erase_if(answer.headers, [&](const HeaderField& field) { return m_parts.dialect.isOwnHeader(field.name); });
    answer.hasBody = head->hasBody;
    answer.contentLength = head->contentLength;
    answer.feedback = m_parts.control.admission.feedback(context());
    answer.retriesUsed = retriesUsed();
    answer.backendTime = m_parts.clock.now() - m_startedAt;
    m_stream->send(std::move(answer));

    // 2. The body. One that ends early is said to.
    const bool whole = !head->hasBody || co_await passAnswerBody();
    endAdmission(whole                    ? endOf(head->status)
            : m_cancelled != Reason::None ? CompletionStatus::Cancelled
                                          : CompletionStatus::Failed);
    if (!whole)
        refuse(Reason::AnswerCutShort, true);
}

Task<bool> GuardAttempt::passAnswerBody()
{
    while (true) {
        auto piece = co_await m_call->readBody();
        if (piece.end == BodyEnd::Cut || piece.end == BodyEnd::TooSlow)
            co_return false;
        const bool last = piece.end == BodyEnd::Last;
        BodyChunk chunk { std::move(piece.bytes), last };
        const bool sent = co_await m_stream->sendBody(std::move(chunk));
        if (!sent)
            co_return false;
        if (last)
            co_return true;
    }
}

uint32_t GuardAttempt::retriesUsed() const
{
    uint32_t used = 0;
    m_parts.board.attempts().visit(id(), [&](const AttemptRecord& record) { used = record.retriesUsed; });
    return used;
}

// --- The request's body ---------------------------------------------------------------------------------------------

// Writes pieces as they come, and makes room for as many more.
Task<void> GuardAttempt::sendBody(std::shared_ptr<GuardAttempt> self) { co_await self->writePieces(); }

Task<void> GuardAttempt::writePieces()
{
    bool going = true;
    while (going && !m_ended) {
        if (m_pieces.empty()) {
            going = co_await m_pieceCame.wait();
            continue;
        }
        const auto piece = std::move(m_pieces.front());
        m_pieces.pop_front();
        going = co_await m_call->writeBody(piece.bytes, piece.last) && !piece.last;
        if (going)
            m_stream->grantCredit(creditOf(piece));
    }
    m_sendingBody = false;
    m_bodyDone.set();
}

// --- What the entry sends -------------------------------------------------------------------------------------------

Task<void> GuardAttempt::readMessages(std::shared_ptr<GuardAttempt> self) { co_await self->takeMessages(); }

Task<void> GuardAttempt::takeMessages()
{
    while (!m_ended) {
        auto message = co_await m_stream->receive();
        if (!message) {
            cancel(Reason::ConnectionLost);
            co_return;
        }
        take(std::move(*message));
    }
}

void GuardAttempt::take(StreamMessage message)
{
    if (auto* chunk = std::get_if<BodyChunk>(&message)) {
        m_bodyIsWhole = chunk->last;
        m_pieces.push_back(std::move(*chunk));
        m_pieceCame.set();
    } else if (const auto* cancelled = std::get_if<CancelRequest>(&message)) {
        cancel(cancelled->reason);
    }
}

void GuardAttempt::watchDeadline()
{
    m_timer.expires_after(m_deadline - m_parts.clock.now());
    m_timer.async_wait([weak = weak_from_this()](const ErrorCode& error) {
        if (const auto self = weak.lock(); self && !error)
            self->cancel(Reason::Timeout);
    });
}

// Whether the attempt goes on although nobody may wait for its answer: a write that has started is better whole than
// broken off.
bool GuardAttempt::outlives(Reason reason) const
{
    const bool hasStarted = m_startedAt != Instant();
    const bool mayOutlive = reason == Reason::CallerGone || reason == Reason::ConnectionLost;
    return mayOutlive && !context().idempotent && hasStarted && (!m_open.hasBody || m_bodyIsWhole);
}

// Nobody waits for the answer any more: what waits is given up, and what runs is told by closing its connection.
void GuardAttempt::cancel(Reason reason)
{
    if (m_ended || m_cancelled != Reason::None || outlives(reason))
        return;
    m_cancelled = reason;
    m_parts.board.counters().add(Counter::RequestsCancelled);
    m_parts.control.guardLedger.cancel(id());
    if (m_waiting) {
        m_parts.control.admission.abandon(context().service, id());
        m_admissionDecided->set();
    }
    m_stream->stopBody();
    if (m_call)
        m_call->abort();
}

// Whatever is said not to have started is barred before it is said.
void GuardAttempt::refuse(Reason reason, bool started, Duration retryAfter)
{
    auto& control = m_parts.control;
    if (!started && control.guardLedger.bar(id()) == VerdictKind::Started)
        started = true;
    if (!started && row(reason).outcome == Outcome::Unknown)
        reason = reason == Reason::Timeout ? Reason::DeadlineExceeded : Reason::Barred;
    m_end = reason;
    Refusal refusal;
    refusal.attempt = id();
    refusal.guard = m_parts.board.self().boot;
    refusal.reason = reason;
    refusal.started = started;
    refusal.retryAfter = retryAfter > Duration(0) ? retryAfter : control.retry.retryAfter(context().service, reason);
    refusal.feedback = control.admission.feedback(context());
    refusal.retriesUsed = retriesUsed();
    m_stream->send(std::move(refusal));
}

} // namespace Vanillaridge

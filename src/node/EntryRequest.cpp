#include "node/EntryRequest.h"

#include "framing/Framing.h"
#include "log/Log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <fmt/format.h>

namespace Vanillaridge {

namespace {

    constexpr uint16_t noStatus = 0;

    // Whether the head can be written to a caller as a response. A guard checks what its backend server sends; one of
    // another version may check less.
    bool isWellFormed(const AnswerHead& head)
    {
        return responseKind(head.status) == ResponseKind::Final
            && std::all_of(head.headers.begin(), head.headers.end(),
                [](const HeaderField& field) { return isFieldName(field.name) && isFieldValue(field.value); });
    }

    // The host that a request names, in lower case and without its port.
    std::string hostOf(const RequestHead& head)
    {
        auto host = head.header("Host");
        const auto colon = host.rfind(':');
        if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
            host = host.substr(0, colon);
        return lowerCase(host);
    }

} // namespace

EntryRequest::EntryRequest(Parts& parts, std::shared_ptr<HttpExchange> exchange, std::optional<AttemptId> parent)
    : m_parts(parts)
    , m_exchange(std::move(exchange))
    , m_parent(parent)
    , m_receivedAt(parts.clock.now())
    , m_deadline(m_exchange->strand())
{
}

Task<void> EntryRequest::run()
{
    const auto self = shared_from_this();
    m_parts.board.counters().add(Counter::RequestsReceived);
    co_await handle();
    m_parts.latencies.whole.record(m_parts.clock.now() - m_receivedAt);
    report();
}

Task<void> EntryRequest::handle()
{

    // 1. Who it is for and what it is worth.
    m_decision = decide();
    if (m_decision.reason != Reason::None) {
        co_await refuse(m_decision.reason, m_decision.retryAfter);
        co_return;
    }

    // 2. Whether it may go on now.
    const auto gate = co_await passGates();
    if (gate != Reason::None) {
        co_await refuse(gate, m_decision.retryAfter);
        close(row(gate).outcome, noStatus);
        co_return;
    }

    // 3. Attempts, until there is an answer.
    open();
    co_await serve();
    m_deadline.cancel();
    co_await m_body->finish();
}

// --- Before the first attempt ---------------------------------------------------------------------------------------

EntryDecision EntryRequest::decide()
{
    const auto& head = m_exchange->head();
    const auto terms = m_parts.dialect.callerTerms(head);
    const auto host = hostOf(head);
    IncomingRequest request;
    request.host = host;
    request.method = head.method;
    request.path = head.path();
    request.key = terms.key;
    request.remaining = terms.remaining;
    request.importance = terms.importance;
    request.bodyBytes = head.contentLength;
    request.readDelay = m_parts.loopLag.value();
    m_key = std::string(request.key.value_or(""));
    m_label = std::string(m_parts.dialect.labelIn(head.headers));
    request.label = m_label;
    m_idempotencyKey = std::string(head.header("Idempotency-Key"));

    // A key in the target would be passed on, and written into logs on its way.
    if (targetCarriesKey(head.target, m_key) || head.method == "CONNECT") {
        EntryDecision refused;
        refused.reason = Reason::BadRequest;
        return refused;
    }
    return m_parent ? m_parts.control.entry.decideCall(request, *m_parent) : m_parts.control.entry.decide(request);
}

Task<Reason> EntryRequest::passGates()
{
    // 1. Has it come before?
    const auto repeated = claimIdempotencyKey();
    if (repeated != Reason::None)
        co_return repeated;

    // 2. Would it be shed further down?
    if (m_parts.control.placement.shedAtEntry(m_decision.context)) {
        m_decision.retryAfter = m_parts.control.retry.retryAfter(service(), Reason::ShedAtEntry);
        co_return Reason::ShedAtEntry;
    }

    // 3. Is there room for its body?
    makeBody();
    if (!m_body->holdBuffers()) {
        m_decision.retryAfter = m_parts.control.retry.retryAfter(service(), Reason::MemoryFull);
        co_return Reason::MemoryFull;
    }

    // 4. Is it within the account's rate? Calls further down are part of a request that was counted.
    if (m_decision.account && m_decision.account->rate > 0)
        co_return co_await takeToken();
    co_return Reason::None;
}

Reason EntryRequest::claimIdempotencyKey()
{
    if (m_idempotencyKey.empty() || m_parent)
        return Reason::None;
    const auto earlier = m_parts.control.duplicates.begin(m_decision.context.account, m_idempotencyKey, id());
    if (earlier.kind == DuplicateKind::NoRoom)
        return Reason::MemoryFull;
    m_claimed = earlier.kind == DuplicateKind::First;
    return m_claimed ? Reason::None : Reason::Duplicate;
}

// Waits, if the quota says so, until tokens on their way arrive; the quota bounds the wait.
Task<Reason> EntryRequest::takeToken()
{
    const auto answer = std::make_shared<Mailbox<QuotaDecision>>(1);
    auto decision = askQuota(answer);
    if (decision.answer == QuotaAnswer::Pending) {
        const auto decided = co_await answer->receive();
        decision = decided.value_or(QuotaDecision {});
    }
    if (decision.answer != QuotaAnswer::Admitted) {
        m_decision.retryAfter = decision.retryAfter;
        m_quota = decision.evidence;
        co_return Reason::OverRate;
    }
    m_token = decision;
    co_return Reason::None;
}

// Temporaries with owners in them are made in plain functions: see the developers' page.
QuotaDecision EntryRequest::askQuota(const std::shared_ptr<Mailbox<QuotaDecision>>& answer)
{
    return m_parts.control.quota.take(
        m_decision.context.account, [answer](const QuotaDecision& decided) { answer->put(decided); });
}

// Lambdas with owners in them are made in plain functions: see the developers' page.
void EntryRequest::makeBody()
{
    m_body = std::make_shared<RequestBody>(m_exchange, m_decision.route->bodyLimit, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->watchCaller();
    });
}

void EntryRequest::open()
{
    std::optional<RequestId> parent;
    if (m_parent) {
        parent = m_parent->request;
        m_parts.board.attempts().visit(
            *m_parent, [&](const AttemptRecord& record) { m_parentRoute = record.context.route; });
    } else {
        m_parentRoute = m_decision.parentRoute;
    }
    m_parts.control.entryLedger.open(m_decision.context, m_decision.deadline, parent, true);
    m_parts.control.retry.countFirstAttempt(service());
    watch();
}

// The deadline and the caller's leaving end whatever is under way.
void EntryRequest::watch()
{
    m_deadline.expires_after(m_decision.deadline - m_parts.clock.now());
    m_deadline.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        self->m_timedOut = true;
        self->cancelAttempt(Reason::Timeout);
        self->m_body->interruptJoin();
    });
    if (!m_exchange->head().hasBody)
        watchCaller();
}

// The guard is told and asked to end the attempt, which it confirms by its refusal: so nobody has to ask it for a
// verdict.
void EntryRequest::watchCaller()
{
    m_exchange->onCallerGone([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_callerGone = true;
        if (self->m_stream)
            self->m_stream->send(CancelRequest { Reason::CallerGone });
    });
}

void EntryRequest::cancelAttempt(Reason reason)
{
    if (!m_stream)
        return;
    m_stream->send(CancelRequest { reason });
    m_stream->close();
}

// --- Attempts -------------------------------------------------------------------------------------------------------

Task<void> EntryRequest::serve()
{
    Reason lastReason = Reason::NoServer;
    Duration retryAfter(0);
    while (true) {
        // 1. A server.
        if (repeatsRejection())
            co_await pause(m_backoff);
        const auto choice = chooseServer();
        if (!choice) {
            co_await refuse(lastReason, retryAfter);
            close(row(lastReason).outcome, noStatus);
            co_return;
        }

        // 2. One attempt at it.
        Attempt attempt { *choice, {}, m_parts.clock.now(), 0, std::nullopt, std::nullopt, Duration(0), Duration(0),
            Reason::None };
        const auto decision = co_await makeAttempt(attempt);
        conclude(attempt);
        const auto ended = attempt.reason != Reason::None ? attempt.reason : decision.reason;
        m_trail.push_back({ attempt.choice.endpoint, ended, m_parts.clock.now() - attempt.sentAt });
        if (ended == Reason::ServerBusy)
            m_rejectedBy.push_back(attempt.choice.server.node);
        if (decision.step == NextStep::TryAnotherServer) {
            lastReason = decision.reason;
            retryAfter = attempt.retryAfter;
            const bool joined = co_await m_body->join();
            // The caller may have left, broken its body off, or sent too little, while the last piece was read.
            const auto end = joined ? m_body->failure() : timeoutAfter(lastReason);
            if (end == Reason::None)
                continue;
            co_await refuse(end, Duration(0));
            close(row(end).outcome, noStatus);
            co_return;
        }

        // 3. Its end.
        if (decision.reason == Reason::None) {
            close(Outcome::Served, m_answerStatus);
        } else if (decision.step == NextStep::AbortAnswer) {
            m_parts.board.counters().addRefusal(decision.reason);
            m_end = decision.reason;
            m_exchange->abort();
            close(Outcome::Unknown, noStatus);
        } else {
            co_await refuse(decision.reason, attempt.retryAfter);
            close(row(decision.reason).outcome, noStatus);
        }
        co_return;
    }
}

// What to tell a caller whose time ran out between two attempts.
Reason EntryRequest::timeoutAfter(Reason lastReason)
{
    return row(lastReason).outcome == Outcome::NotRun ? Reason::DeadlineExceeded : Reason::Timeout;
}

// Whether the route allows no further server, so that the next attempt goes to one that rejected the request unrun.
bool EntryRequest::repeatsRejection() const
{
    return !m_rejectedBy.empty() && m_tried.size() > m_decision.route->retries;
}

// A server that has not been tried, as long as the route allows one.
std::optional<PlacementChoice> EntryRequest::chooseServer()
{
    auto& placement = m_parts.control.placement;
    if (!repeatsRejection()) {
        if (auto choice = placement.choose(service(), m_tried, costTraits())) {
            m_tried.push_back(choice->server.node);
            return choice;
        }
    }
    return placement.chooseAmong(service(), m_rejectedBy, costTraits());
}

// What is left of the target counts: a request that came back has used some of it.
CostTraits EntryRequest::costTraits() const
{
    const auto target = m_decision.route->targetLatency;
    const auto used = m_parts.clock.now() - m_receivedAt;
    const auto& head = m_exchange->head();
    return { m_decision.context.route, head.hasBody ? head.contentLength : std::optional<uint64_t>(0),
        target > Duration(0) ? std::max<Duration>(target - used, milliseconds(1)) : Duration(0) };
}

Task<void> EntryRequest::pause(Duration time)
{
    boost::asio::steady_timer timer(m_exchange->strand(), time);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(useAwaitable, ignored));
}

Task<Decision> EntryRequest::makeAttempt(Attempt& attempt)
{
    auto& control = m_parts.control;
    control.placement.callStarted(attempt.choice);
    m_stream = co_await m_parts.peers.open(attempt.choice.endpoint);
    const auto guard = m_stream ? m_stream->peer().boot : BootId {};
    attempt.sentAt = m_parts.clock.now();
    const auto begun = control.entryLedger.beginAttempt(id(), guard, attempt.sentAt.time_since_epoch());
    if (!begun)
        co_return Decision { NextStep::AnswerCaller, Reason::Internal };
    attempt.id = *begun;
    attempt.lent = control.retry.lendToAttempt(id());
    if (!m_stream || m_timedOut) {
        attempt.usedBelow = 0;
        co_return co_await endWithoutAnswer(attempt, AttemptEnd::NeverSent);
    }
    if (m_exchange->callerGone()) {
        m_callerGone = true;
        attempt.usedBelow = 0;
        auto decision = co_await endWithoutAnswer(attempt, AttemptEnd::NeverSent);
        attempt.reason = Reason::CallerGone;
        co_return decision;
    }
    if (!m_decision.context.idempotent)
        waitThroughSilence(attempt);
    sendOpen(attempt);
    const auto decision = co_await awaitAnswer(attempt);
    m_stream->close();
    co_return decision;
}

// A request that cannot be repeated is not given up because its guard is silent for a while. Only if the guard can say
// that it has not started is the attempt ended, and another server tried.
void EntryRequest::waitThroughSilence(const Attempt& attempt)
{
    m_stream->waitThroughSilence([weak = weak_from_this(), id = attempt.id, guard = attempt.choice.endpoint] {
        const auto self = weak.lock();
        if (!self)
            return;
        boost::asio::post(self->m_exchange->strand(), [self, id, guard] {
            if (self->m_stream)
                boost::asio::co_spawn(
                    self->m_exchange->strand(), askWhileSilent(self, self->m_stream, id, guard), boost::asio::detached);
        });
    });
}

Task<void> EntryRequest::askWhileSilent(
    std::shared_ptr<EntryRequest> self, MessageStreamPointer stream, AttemptId attempt, Endpoint guard)
{
    const auto query = self->m_parts.control.entryLedger.verdictQuery(attempt);
    if (!query)
        co_return;
    const auto reply = co_await self->m_parts.peers.askVerdict(std::move(guard), *query);
    if (reply && reply->kind == VerdictKind::NotStarted)
        stream->close();
}

void EntryRequest::sendOpen(Attempt& attempt)
{
    OpenRequest open;
    open.context = m_decision.context;
    open.context.attempt = attempt.id;
    open.context.remaining = remainingTime();
    open.context.retriesLeft = attempt.lent;
    open.guard = m_stream->peer().boot;
    const auto& head = m_exchange->head();
    open.contentLength = head.contentLength;
    open.method = head.method;
    open.target = head.target;
    open.headers = headersToPassOn(m_parts.dialect, head.headers, m_key);
    m_parts.dialect.addEntryHeaders(open.context, m_parts.settings.service, open.headers);
    open.hasBody = head.hasBody;
    open.sentAt = attempt.sentAt.time_since_epoch();
    m_stream->send(std::move(open));
    if (head.hasBody)
        m_body->startSending(m_stream);
}

// A backend server gives its own answer at its deadline, so none is later than a stop that is under way here.
Duration EntryRequest::remainingTime() const
{
    const auto now = m_parts.clock.now();
    const auto remaining = m_decision.deadline - now;
    const auto beforeStop = m_parts.board.timeBeforeStop(now);
    return beforeStop ? std::min(remaining, std::max<Duration>(*beforeStop, milliseconds(1))) : remaining;
}

Task<Decision> EntryRequest::awaitAnswer(Attempt& attempt)
{
    while (true) {
        auto message = co_await m_stream->receive();
        if (!message)
            co_return co_await endWithoutAnswer(
                attempt, m_timedOut ? AttemptEnd::TimedOut : AttemptEnd::ConnectionLost);
        if (auto* head = std::get_if<AnswerHead>(&*message)) {
            if (!isWellFormed(*head))
                co_return co_await endWithoutAnswer(attempt, AttemptEnd::ConnectionLost);
            if (m_parts.control.entryLedger.takeAnswer(attempt.id, *head))
                co_return co_await passAnswer(attempt, std::move(*head));
        } else if (const auto* refusal = std::get_if<Refusal>(&*message)) {
            co_return takeRefusal(attempt, *refusal);
        }
    }
}

Decision EntryRequest::takeRefusal(Attempt& attempt, const Refusal& refusal)
{
    attempt.usedBelow = refusal.retriesUsed;
    attempt.feedback = refusal.feedback;
    attempt.reason = refusal.reason;
    attempt.retryAfter = refusal.retryAfter;
    m_parts.control.retry.returnFromAttempt(id(), attempt.lent, attempt.usedBelow);
    const auto decision = m_parts.control.entryLedger.refused(attempt.id, refusal, mayRetry(refusal.reason));
    return decision.value_or(Decision { NextStep::AnswerCaller, Reason::Internal });
}

// Asks the guard before anything is said or tried again, where the guard can know.
Task<Decision> EntryRequest::endWithoutAnswer(Attempt& attempt, AttemptEnd end)
{
    auto& control = m_parts.control;
    control.retry.returnFromAttempt(id(), attempt.lent, attempt.usedBelow);

    // 1. What the end alone says.
    attempt.reason = end == AttemptEnd::NeverSent ? Reason::PeerUnreachable
        : end == AttemptEnd::TimedOut             ? Reason::Timeout
                                                  : Reason::ConnectionLost;
    const bool again = end != AttemptEnd::TimedOut && mayRetry(attempt.reason);
    auto decision = control.entryLedger.ended(attempt.id, end, again);
    if (!decision)
        co_return Decision { NextStep::AnswerCaller, Reason::Internal };
    if (decision->step != NextStep::AskForVerdict)
        co_return *decision;
    if (end == AttemptEnd::TimedOut)
        co_return Decision { NextStep::AnswerCaller, Reason::Timeout };
    if (m_callerGone)
        co_return Decision { NextStep::AnswerCaller, Reason::CallerGone };

    // 2. What the guard says, over a fresh connection.
    const auto query = control.entryLedger.verdictQuery(attempt.id);
    VerdictReply reply { attempt.id, VerdictKind::Unknown };
    if (query) {
        const auto answer = co_await m_parts.peers.askVerdict(attempt.choice.endpoint, *query);
        reply = answer.value_or(reply);
    }
    const bool notStarted = reply.kind == VerdictKind::NotStarted && end != AttemptEnd::TimedOut;
    decision = control.entryLedger.judged(reply, again || (notStarted && mayRetry(Reason::PeerUnreachable)));
    co_return decision.value_or(Decision { NextStep::AnswerCaller, Reason::Internal });
}

Task<Decision> EntryRequest::passAnswer(Attempt& attempt, AnswerHead head)
{
    attempt.usedBelow = head.retriesUsed;
    attempt.feedback = head.feedback;
    attempt.backendTime = head.backendTime;
    m_parts.control.retry.returnFromAttempt(id(), attempt.lent, attempt.usedBelow);
    m_parts.latencies.added.record(m_parts.clock.now() - m_receivedAt - head.backendTime);

    // 1. The head.
    ReplyHead reply { head.status, std::move(head.headers), head.hasBody, head.contentLength };
    const bool hasBody = reply.hasBody;
    m_answerStatus = reply.status;
    // An answer has to be delivered, so its bytes are taken in any case: as many as come before the caller takes some.
    constexpr uint64_t mostUnread = initialBodyCredit + bodyPieceBytes;
    if (hasBody)
        m_exchange->forceBuffers(std::min(mostUnread, reply.contentLength.value_or(mostUnread)));
    auto message = hasBody ? m_stream->takeNow() : std::nullopt;
    const auto writing = message ? HeadWriting::WithBody : HeadWriting::AtOnce;
    bool written = co_await m_exchange->writeHead(std::move(reply), writing);

    // 2. The body, for as long as it comes and the caller takes it.
    bool whole = !hasBody;
    while (written && !whole) {
        if (!message)
            message = co_await m_stream->receive();
        auto* chunk = message ? std::get_if<BodyChunk>(&*message) : nullptr;
        if (!chunk)
            break;
        written = co_await m_exchange->writeBody(chunk->bytes, chunk->last);
        whole = written && chunk->last;
        if (!chunk->last)
            m_stream->grantCredit(creditOf(*chunk));
        message.reset();
    }

    // 3. Anything less than all of it must not look like all of it.
    if (written && whole) {
        m_parts.control.entryLedger.finishAnswer(attempt.id);
        co_return Decision { NextStep::AnswerCaller, Reason::None };
    }
    cancelAttempt(Reason::CallerGone);
    m_parts.control.entryLedger.ended(attempt.id, AttemptEnd::AnswerCutShort, false);
    co_return Decision { NextStep::AbortAnswer, written ? Reason::AnswerCutShort : Reason::CallerGone };
}

// Whether time, body and budget allow another try, which is then taken out of the budget.
bool EntryRequest::mayRetry(Reason reason)
{
    m_retryObstacle = {};
    if (m_timedOut || m_callerGone || m_body->failure() != Reason::None || m_parts.clock.now() >= m_decision.deadline) {
        m_retryObstacle = "over";
        return false;
    }
    if (!m_body->holdForReplay()) {
        m_retryObstacle = "body-not-kept";
        return false;
    }
    const auto grant = m_parts.control.retry.acquireRetry(id(), service(), reason);
    m_backoff = grant ? grant->delay : Duration(0);
    if (!grant)
        m_retryObstacle = "budget";
    return grant.has_value();
}

// Tells placement how the attempt went.
void EntryRequest::conclude(const Attempt& attempt)
{
    const auto latency = m_parts.clock.now() - attempt.sentAt;
    m_parts.control.placement.callCompleted(attempt.choice,
        { m_decision.context, m_parentRoute, attempt.reason, attempt.feedback ? &*attempt.feedback : nullptr, latency,
            attempt.backendTime, costTraits().bodyBytes });
}

// --- The end --------------------------------------------------------------------------------------------------------

Task<void> EntryRequest::refuse(Reason reason, Duration retryAfter)
{
    // 1. What went wrong with the caller itself says more than what followed from it.
    if (m_callerGone)
        reason = Reason::CallerGone;
    else if (m_body && (m_body->isInvalid() || row(reason).outcome == Outcome::Unknown))
        reason = m_body->failure() == Reason::None ? reason : m_body->failure();
    m_parts.board.counters().add(Counter::RequestsRefused);
    m_parts.board.counters().addRefusal(reason);
    m_end = reason;

    // 2. A reply that has begun can only be broken off.
    if (m_exchange->replyStarted()) {
        m_exchange->abort();
        co_return;
    }
    const auto target = m_decision.route ? m_decision.route->targetLatency : Duration(0);
    if (target > Duration(0) && reason != Reason::OverRate)
        retryAfter = m_parts.control.retry.retryAfterForTarget(target);
    else if (retryAfter <= Duration(0))
        retryAfter = m_parts.control.retry.retryAfter(service(), reason);
    m_retryAfter = retryAfter;
    const auto text = id().sequence ? toText(id()) : std::string();
    auto reply = m_parts.dialect.refusal({ reason, retryAfter, text });
    co_await m_exchange->reply(std::move(reply));
}

// The attempts so far: node, end and milliseconds of each.
std::string EntryRequest::trailText() const
{
    std::string text;
    for (const auto& step : m_trail) {
        text += fmt::format(
            "{}{}:{}:{}ms", text.empty() ? "" : ",", step.node, toText(step.reason), inMilliseconds(step.took));
    }
    return text;
}

// One line for the request: what was decided, and what decided it.
void EntryRequest::report() const
{
    const auto& context = m_decision.context;
    const auto ownText = [&] { return id().sequence ? toText(id()) : std::string(); };
    const auto label = m_label.empty() ? ownText() : m_label;
    const auto kind = m_end == Reason::None ? LogClass::Routine : LogClass::Failure;
    if (!wantsRequestLine(kind, label))
        return;
    logRequest(kind, "request",
        { { "id", label }, { "request", ownText() }, { "route", context.route }, { "account", context.account },
            { "service", context.service }, { "rank", toText(context.rank) }, { "depth", context.depth },
            { "traced", context.parentKnown }, { "reason", toText(m_end) }, { "outcome", toText(row(m_end).outcome) },
            { "status", m_answerStatus },
            { "configuration", m_decision.configuration ? m_decision.configuration->number() : 0 },
            { "allowed-ms", inMilliseconds(context.remaining) },
            { "took-ms", inMilliseconds(m_parts.clock.now() - m_receivedAt) }, { "attempts", trailText() },
            { "no-retry", m_retryObstacle }, { "quota", toText(m_quota) },
            { "retry-after-ms", inMilliseconds(m_retryAfter) }, { "lag-ms", inMilliseconds(m_parts.board.lag()) } });
}

// Gives back what the request held.
void EntryRequest::close(Outcome outcome, uint16_t status)
{
    auto& control = m_parts.control;
    if (outcome == Outcome::Served) {
        m_parts.board.counters().add(Counter::RequestsServed);
        control.entry.recordServed(m_decision.context.route, m_parts.clock.now() - m_receivedAt);
    }
    if (m_token && outcome == Outcome::NotRun)
        control.quota.giveBack(m_decision.context.account, *m_token);
    if (m_claimed)
        control.duplicates.end(m_decision.context.account, m_idempotencyKey, id(), outcome, status);
    if (m_parent) {
        uint32_t used = 0;
        m_parts.board.entries().visit(id(), [&](const EntryRecord& record) { used = record.retriesUsed; });
        control.retry.returnFromChild(*m_parent, m_decision.retriesLent, used);
    }
    control.entryLedger.close(id());
    m_stream.reset();
}

} // namespace Vanillaridge

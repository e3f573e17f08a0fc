#include "entry/Entry.h"

#include <algorithm>
#include <charconv>

namespace Vanillaridge {

namespace {

    // Retry-After of a request that comes before the first configuration, or while it is not confirmed.
    constexpr Duration configurationRetry = seconds(2);

} // namespace

struct Entry::State {
    State(Board& board, const Clock& clock, RandomSource& random, const Freshness& freshness, Retry& retry)
        : board(board)
        , clock(clock)
        , freshness(freshness)
        , retry(retry)
        , sequenceSecret(random.next())
    {
    }

    EntryDecision refuse(Reason reason, Duration retryAfter = Duration(0)) const
    {
        EntryDecision decision;
        decision.reason = reason;
        decision.retryAfter = retryAfter;
        return decision;
    }

    // Numbers that are never used twice, and that nobody who has seen some can guess the others from.
    RequestId nextId()
    {
        const auto& self = board.self();
        return { self.id(), self.boot, mixHash(sequenceSecret, sequence.fetch_add(1, std::memory_order_relaxed)) };
    }

    Board& board;
    const Clock& clock;
    const Freshness& freshness;
    Retry& retry;
    const uint64_t sequenceSecret;
    std::atomic<uint64_t> sequence { 0 };
};

Entry::Entry(Board& board, const Clock& clock, RandomSource& random, const Freshness& freshness, Retry& retry)
    : m_state(std::make_unique<State>(board, clock, random, freshness, retry))
{
}

Entry::~Entry() = default;

namespace {

    // The account that the request counts for; a reason when it may not go on. An open route counts for nobody.
    Reason authorize(const Configuration& configuration, const Route& route, std::optional<std::string_view> key,
        AccountName& account)
    {
        if (route.open)
            return Reason::None;
        if (!key)
            return Reason::MissingKey;
        const auto* owner = configuration.accountOfKey(digestOfKey(*key));
        if (!owner)
            return Reason::UnknownKey;
        account = owner->name;
        return configuration.mayUse(route, account) ? Reason::None : Reason::RouteForbidden;
    }

} // namespace

EntryDecision Entry::decide(const IncomingRequest& request)
{
    auto& self = *m_state;

    // 1. A configuration to go by.
    const auto configuration = self.board.configuration().inForce();
    if (!configuration)
        return self.refuse(Reason::NoConfiguration, configurationRetry);

    // 2. The route and the account. A key is only as good as the configuration that knows it.
    const auto* route = configuration->route(request.method, request.path);
    if (!route)
        return self.refuse(Reason::NoRoute);
    if (!route->open && !self.freshness.mayServeKeyed())
        return self.refuse(Reason::StaleConfiguration, configurationRetry);
    EntryDecision decision;
    decision.reason = authorize(*configuration, *route, request.key, decision.context.account);
    if (decision.reason == Reason::None && request.bodyBytes.value_or(0) > route->bodyLimit)
        decision.reason = Reason::BodyTooLarge;
    if (decision.reason != Reason::None)
        return decision;

    // 3. Its time.
    const auto now = self.clock.now();
    decision.context.remaining = std::min(route->timeout, request.remaining.value_or(route->timeout));
    decision.deadline = now + decision.context.remaining;
    if (decision.context.remaining <= Duration(0))
        return self.refuse(Reason::DeadlineExceeded);

    // 4. What travels with it.
    auto& context = decision.context;
    context.attempt.request = self.nextId();
    context.route = route->name;
    context.service = route->service;
    context.importance = std::max(route->importance, request.importance.value_or(route->importance));
    context.idempotent = route->idempotent;
    context.retriesLeft = std::min(route->retries, configuration->policy().retriesPerRequest);
    context.depth = 1;
    context.treeHash = std::hash<RequestId>()(context.attempt.request);
    decision.configuration = configuration;
    decision.route = route;
    return decision;
}

EntryDecision Entry::decideCall(const IncomingRequest& request, const AttemptId& parent)
{
    auto& self = *m_state;
    const auto configuration = self.board.configuration().inForce();
    if (!configuration)
        return self.refuse(Reason::NoConfiguration, configurationRetry);

    // 1. The parent, which must be running at a backend server beside this node.
    EntryDecision decision;
    auto& context = decision.context;
    Reason reason = Reason::ParentUnknown;
    self.board.attempts().visit(parent, [&](const AttemptRecord& record) {
        if (record.state != AttemptState::Started)
            return;
        reason = record.cancelled ? Reason::ParentCancelled : Reason::None;
        context = record.context;
        decision.deadline = record.deadline;
    });
    if (reason != Reason::None)
        return self.refuse(reason);

    // 2. The route, for the parent's account.
    const auto* route = configuration->route(request.method, request.path);
    if (!route)
        return self.refuse(Reason::NoRoute);
    if (!route->open && !context.account.empty() && !configuration->mayUse(*route, context.account))
        return self.refuse(Reason::RouteForbidden);
    if (!route->open && context.account.empty())
        return self.refuse(Reason::RouteForbidden);
    if (request.bodyBytes.value_or(0) > route->bodyLimit)
        return self.refuse(Reason::BodyTooLarge);
    if (context.depth >= configuration->policy().maximumDepth)
        return self.refuse(Reason::CallDepthExceeded);

    // 3. Its time: never more than the parent has left.
    const auto now = self.clock.now();
    const auto allowed = std::min(route->timeout, request.remaining.value_or(route->timeout));
    decision.deadline = std::min(decision.deadline, now + allowed);
    context.remaining = decision.deadline - now;
    if (context.remaining <= Duration(0))
        return self.refuse(Reason::DeadlineExceeded);

    // 4. What travels with it: worth and tree as the parent's, retries out of the parent's.
    decision.retriesLent = self.retry.lendToChild(parent);
    context.attempt = { self.nextId(), 0 };
    context.route = route->name;
    context.service = route->service;
    context.idempotent = route->idempotent;
    context.retriesLeft = std::min(decision.retriesLent, route->retries);
    context.depth += 1;
    decision.configuration = configuration;
    decision.route = route;
    return decision;
}

// --- Headers --------------------------------------------------------------------------------------------------------

namespace {

    constexpr std::array<std::string_view, 2> credentialHeaders { "authorization", "proxy-authorization" };

    bool sameName(std::string_view left, std::string_view right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(),
            [](char a, char b) { return std::tolower(static_cast<unsigned char>(a)) == b; });
    }

    bool isOwn(std::string_view name)
    {
        return name.size() >= ownHeaderPrefix.size()
            && sameName(name.substr(0, ownHeaderPrefix.size()), ownHeaderPrefix);
    }

} // namespace

std::vector<HeaderField> headersForBackend(std::span<const HeaderField> headers, std::string_view key)
{
    std::vector<HeaderField> forwarded;
    forwarded.reserve(headers.size() + 2);
    for (const auto& field : headers) {
        const bool credential = std::any_of(credentialHeaders.begin(), credentialHeaders.end(),
            [&](std::string_view name) { return sameName(field.name, name); });
        const bool carriesKey
            = !key.empty() && (field.value.find(key) != std::string::npos || field.name.find(key) != std::string::npos);
        if (!credential && !carriesKey && !isOwn(field.name))
            forwarded.push_back(field);
    }
    return forwarded;
}

bool targetCarriesKey(std::string_view target, std::string_view key)
{
    return !key.empty() && target.find(key) != std::string_view::npos;
}

std::string toText(const AttemptId& id) { return toText(id.request) + "." + std::to_string(id.number); }

std::optional<AttemptId> attemptIdFromText(std::string_view text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const auto request = requestIdFromText(text.substr(0, dot));
    AttemptId id;
    const auto [stop, error] = std::from_chars(text.data() + dot + 1, text.data() + text.size(), id.number);
    if (!request || error != std::errc() || stop != text.data() + text.size())
        return std::nullopt;
    id.request = *request;
    return id;
}

} // namespace Vanillaridge

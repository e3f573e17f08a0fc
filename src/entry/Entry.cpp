#include "entry/Entry.h"

#include "entry/CallTracer.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    // Lag above which the node sheds new requests of the highest rank, how much lower that threshold is for the lowest
    // rank, and the range of lag over which shedding of a rank rises from none to all. The shortest target latency of
    // the supported deployments is 100 ms, and work for a caller that disconnects must stop within 0.5 s.
    constexpr Duration sheddingLag = milliseconds(300);
    constexpr Duration sheddingLagSpread = milliseconds(200);
    constexpr Duration sheddingLagRamp = milliseconds(150);

    // A request with less than this share of the longest timeout seen on its route is treated as a retry after
    // a refusal: such retries come after a delay, while callers that retry at once have nearly all their time left.
    constexpr double retryTimeoutShare = 0.93;
    // Decay of the longest timeout per request, so that it adapts when callers switch to shorter ones.
    constexpr double longestTimeoutDecay = 0.9998;
    // Decay of the longest time that a request of a route took, per request.
    constexpr double longestServedDecay = 0.999;
    // Highest bits of the tree hash. A request with these bits cleared is among the last quarter of its rank to be
    // shed.
    constexpr uint64_t lastQuarterMask = uint64_t(3) << 62;

    // Whether a new request is shed because of the node's lag. The lowest rank is shed first.
    bool isShedForLag(const RequestContext& context, Duration lag)
    {
        const auto rampStart
            = sheddingLag - sheddingLagSpread * static_cast<int>(indexOf(context.rank)) / static_cast<int>(rankCount);
        const auto shedShare = double((lag - rampStart).count()) / double(sheddingLagRamp.count());
        return unitOfHash(mixHash(context.treeHash, 1)) < shedShare;
    }

    // Retry-After of requests that arrive before the first configuration, or while it is not confirmed.
    constexpr Duration configurationRetryAfter = seconds(2);

} // namespace

struct Entry::State {
    State(Board& board, const Clock& clock, RandomSource& random, const Freshness& freshness, Retry& retry)
        : board(board)
        , clock(clock)
        , random(random)
        , freshness(freshness)
        , retry(retry)
        , tracer(board, clock, random)
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

    // Sequence numbers are unique, and cannot be predicted from others.
    RequestId nextId()
    {
        const auto& self = board.self();
        return { self.id(), self.boot, mixHash(sequenceSecret, sequence.fetch_add(1, std::memory_order_relaxed)) };
    }

    // Whether the remaining time indicates that the request is a retry after a refusal.
    bool isRetryAfterRefusal(const Route& route, std::optional<Duration> remaining)
    {
        if (!remaining)
            return false;
        return longestTimeouts.update(route.name, [&](double& longestTimeout) {
            const auto timeout = static_cast<double>(remaining->count());
            longestTimeout = std::max(longestTimeout * longestTimeoutDecay, timeout);
            return timeout < retryTimeoutShare * longestTimeout;
        });
    }

    // Whether a request may still run when the stop that is under way cuts it off. A route of which no request has been
    // served here is taken to need all the time that it is allowed.
    bool outlastsStop(const Route& route, Duration allowed)
    {
        const auto left = board.timeBeforeStop(clock.now());
        if (!left)
            return false;
        Duration needed = allowed;
        longestServed.visit(
            route.name, [&](const double& longest) { needed = std::min(needed, fromSeconds(longest)); });
        return *left < needed;
    }

    // Lets a call without a parent id inherit from its inferred or sampled parent.
    void inheritFromParent(EntryDecision& decision, const IncomingRequest& request)
    {
        auto& context = decision.context;
        const auto call = tracer.trace({ context.route, request.label, request.remaining, request.readDelay });
        if (!call)
            return;
        board.counters().add(call->parentKnown ? Counter::CallsTraced : Counter::CallsUntraced);
        const auto& parent = call->parent;
        context.parentKnown = call->parentKnown;
        context.rank = parent.rank;
        context.represents = parent.represents;
        context.depth = parent.depth + 1;
        if (call->routeKnown)
            decision.parentRoute = parent.route;
        if (call->parentKnown)
            context.treeHash = parent.treeHash;
    }

    // The service for the next request of the route. Golden ratio steps spread requests evenly over the weights from
    // the first request on, for any number of weights.
    ServiceName chooseService(const Route& route)
    {
        if (route.shares.empty())
            return route.service;
        double total = 0;
        for (const auto& share : route.shares)
            total += share.weight;
        constexpr double goldenRatio = 0.61803398874989485;
        double place = rotations.update(route.name, [&](double& position) {
            position += goldenRatio;
            position -= position >= 1;
            return position;
        }) * total;
        for (const auto& share : route.shares) {
            if (place < share.weight)
                return share.service;
            place -= share.weight;
        }
        return route.shares.back().service;
    }

    Board& board;
    const Clock& clock;
    RandomSource& random;
    const Freshness& freshness;
    Retry& retry;
    CallTracer tracer;
    /// Longest recent caller timeout per route in nanoseconds, with decay.
    Sharded<RouteName, double> longestTimeouts;
    Sharded<RouteName, double> longestServed;
    /// Current position of each route with several services in its weighted rotation, from 0 to 1.
    Sharded<RouteName, double> rotations;
    const uint64_t sequenceSecret;
    std::atomic<uint64_t> sequence { 0 };
};

Entry::Entry(Board& board, const Clock& clock, RandomSource& random, const Freshness& freshness, Retry& retry)
    : m_state(std::make_unique<State>(board, clock, random, freshness, retry))
{
}

Entry::~Entry() = default;

namespace {

    // Finds the account to charge, or returns the reason for refusing the request. Open routes charge no account.
    Reason authorize(const Configuration& configuration, const Route& route, std::optional<std::string_view> key,
        const ClientAccount*& account)
    {
        if (route.open)
            return Reason::None;
        if (!key)
            return Reason::MissingKey;
        account = configuration.accountOfKey(digestOfKey(*key));
        if (!account)
            return Reason::UnknownKey;
        return configuration.mayUse(route, account->name) ? Reason::None : Reason::RouteForbidden;
    }

    // The account's importance overrides the route's. A caller can only lower them.
    Rank rankOf(const Route& route, const ClientAccount* account, std::optional<Importance> requested)
    {
        const auto own = account ? account->importance.value_or(route.importance) : route.importance;
        return { std::max(own, requested.value_or(own)),
            std::max(route.importance, requested.value_or(route.importance)) };
    }

} // namespace

EntryDecision Entry::decide(const IncomingRequest& request)
{
    auto& self = *m_state;

    // 1. The configuration in force.
    const auto configuration = self.board.configuration().inForce();
    if (!configuration)
        return self.refuse(Reason::NoConfiguration, configurationRetryAfter);

    // 2. The route and the account. A key is only accepted while the configuration that lists it is fresh.
    const auto* route = configuration->route(request.host, request.method, request.path);
    if (!route) {
        auto decision = self.refuse(Reason::NoRoute);
        decision.configuration = configuration;
        return decision;
    }
    if (!route->open && !self.freshness.mayServeKeyed())
        return self.refuse(Reason::StaleConfiguration, configurationRetryAfter);
    EntryDecision decision;
    const ClientAccount* account = nullptr;
    decision.reason = authorize(*configuration, *route, request.key, account);
    if (account)
        decision.context.account = account->name;
    if (decision.reason == Reason::None && request.bodyBytes.value_or(0) > route->bodyLimit)
        decision.reason = Reason::BodyTooLarge;
    if (decision.reason != Reason::None)
        return decision;

    // 3. The deadline.
    const auto now = self.clock.now();
    decision.context.remaining = std::min(route->timeout, request.remaining.value_or(route->timeout));
    decision.context.remaining -= request.readDelay;
    decision.deadline = now + decision.context.remaining;
    if (decision.context.remaining <= Duration(0))
        return self.refuse(Reason::DeadlineExceeded);

    // 4. The context that is propagated with the request.
    auto& context = decision.context;
    context.attempt.request = self.nextId();
    context.route = route->name;
    context.service = self.chooseService(*route);
    context.rank = rankOf(*route, account, request.importance);
    context.idempotent = route->idempotent;
    context.retriesLeft = std::min(route->retries, configuration->policy().retriesPerRequest);
    context.depth = 1;
    context.treeHash = std::hash<RequestId>()(context.attempt.request);
    if (self.isRetryAfterRefusal(*route, request.remaining))
        context.treeHash &= ~lastQuarterMask;
    if (route->open && !configuration->declarations().accounts.empty())
        self.inheritFromParent(decision, request);
    const bool isCallOfRunning = route->open && self.board.attempts().size();
    if (self.board.refusesNewWork() && (!isCallOfRunning || self.outlastsStop(*route, context.remaining)))
        decision.reason = Reason::Draining;
    else if (context.depth == 1 && isShedForLag(context, request.readDelay))
        decision.reason = Reason::NodeBusy;
    decision.configuration = configuration;
    decision.route = route;
    decision.account = account;
    return decision;
}

EntryDecision Entry::decideCall(const IncomingRequest& request, const AttemptId& parent)
{
    auto& self = *m_state;
    const auto configuration = self.board.configuration().inForce();
    if (!configuration)
        return self.refuse(Reason::NoConfiguration, configurationRetryAfter);

    // 1. The parent, which must be running at a local backend server.
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

    // 2. The route, authorized for the parent's account.
    const auto* route = configuration->route(request.host, request.method, request.path);
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

    // 3. The deadline, never later than the parent's.
    const auto now = self.clock.now();
    const auto allowed = std::min(route->timeout, request.remaining.value_or(route->timeout));
    decision.deadline = std::min(decision.deadline, now + allowed);
    context.remaining = decision.deadline - now;
    if (context.remaining <= Duration(0))
        return self.refuse(Reason::DeadlineExceeded);

    if (self.board.refusesNewWork() && self.outlastsStop(*route, context.remaining))
        return self.refuse(Reason::Draining);

    // 4. The context: rank and tree are inherited, retries are lent from the parent's budget.
    decision.retriesLent = self.retry.lendToChild(parent);
    context.attempt = { self.nextId(), 0 };
    context.route = route->name;
    context.service = self.chooseService(*route);
    context.idempotent = route->idempotent;
    context.retriesLeft = std::min(decision.retriesLent, route->retries);
    context.depth += 1;
    decision.configuration = configuration;
    decision.route = route;
    return decision;
}

void Entry::recordServed(std::string_view route, Duration took)
{
    m_state->longestServed.update(
        RouteName(route), [&](double& longest) { longest = std::max(longest * longestServedDecay, inSeconds(took)); });
}

bool targetCarriesKey(std::string_view target, std::string_view key)
{
    return !key.empty() && target.find(key) != std::string_view::npos;
}

} // namespace Vanillaridge

#include "placement/Placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Vanillaridge {

namespace {

    // Age at which feedback is ignored; its weight decreases linearly until then.
    constexpr Duration feedbackLifetime = seconds(1);
    // EWMA of the reported shed levels: the minimum weight of a new report, so that the servers of a service are
    // averaged, and the time constant after which earlier reports have little weight.
    constexpr double minimumShedLevelWeight = 0.5;
    constexpr Duration shedLevelTimeConstant = milliseconds(50);
    // Probes per passed request: requests that pass although they would be shed, to detect when shedding ends.
    constexpr double probeFraction = 0.01;
    // Consecutive failures that set a server aside (outlier ejection), and for how long, with exponential backoff.
    constexpr uint32_t failuresToSetAside = 3;
    constexpr Duration initialSetAsideTime = seconds(1);
    constexpr Duration maximumSetAsideTime = seconds(30);
    constexpr double setAsideJitter = 0.2;
    // Minimum fraction of a service's servers that stays in use.
    constexpr double minimumFractionInUse = 0.5;
    // Load of a server in this zone above which servers in other zones are considered too, and the load that is added
    // to a server in another zone.
    constexpr double crossZoneLoadThreshold = 0.8;
    constexpr double crossZoneLoadPenalty = 0.1;
    // Share of the target latency within which a request may be expected to complete, tail included, without servers in
    // other zones being considered; and the time that another zone must save, for the way there and back and for bytes
    // that cost more. Without a target, the zone is left for a time that is saved alone.
    constexpr double targetShareInZone = 0.5;
    constexpr double crossZoneTime = 0.005;
    constexpr double crossZoneTimeShare = 0.25;
    // Fraction of its slots that a server is assumed to have at the beginning of its slow start.
    constexpr double slowStartInitialFraction = 0.2;
    // Request and call counts decay: they are halved at this many requests.
    constexpr double countsDecayThreshold = 256;

    // Whether a completion counts as a failure of the server itself. A timeout does so only without feedback from the
    // server's node: with feedback, a service further downstream may have been slow.
    bool isFailure(const CallCompletion& completion)
    {
        switch (completion.reason) {
        case Reason::PeerUnreachable:
        case Reason::BackendUnreachable:
        case Reason::ConnectionLost:
        case Reason::AnswerCutShort:
        case Reason::Internal:
            return true;
        case Reason::Timeout:
            return !completion.feedback;
        default:
            return false;
        }
    }

    ServerRecord makeServerRecord(const MemberUpdate& member, const ServerAnnouncement& announcement, Instant now)
    {
        ServerRecord record;
        record.endpoint = member.endpoint;
        record.zone = member.zone;
        record.announcement = announcement;
        record.knownSince = now;
        return record;
    }

    // When a server may be chosen again. After it was set aside, it gets one request at a time until one succeeds.
    Instant eligibleAt(const ServerRecord& server, Instant now)
    {
        const bool onTrial = server.setAsides > 0 && server.outstanding > 0;
        return onTrial ? std::max(server.setAsideUntil, now + Duration(1)) : server.setAsideUntil;
    }

    // Carries over the state of servers whose generation is unchanged.
    void carryOverState(ServerGroup& announced, const ServerGroup& known)
    {
        for (auto& [node, server] : announced) {
            const auto found = known.find(node);
            if (found == known.end() || found->second.announcement.generation != server.announcement.generation)
                continue;
            auto kept = found->second;
            kept.announcement = server.announcement;
            kept.endpoint = server.endpoint;
            kept.zone = server.zone;
            server = std::move(kept);
        }
    }

    // A server that may be chosen; valid while the group's lock is held.
    struct Candidate {
        NodeId node;
        const ServerRecord* record;
    };
    using Candidates = std::vector<Candidate>;

    // Puts the candidates of this zone first; returns how many there are.
    size_t partitionByZone(Candidates& candidates, const ZoneName& zone)
    {
        const auto elsewhere = std::partition(candidates.begin(), candidates.end(),
            [&](const Candidate& candidate) { return candidate.record->zone == zone; });
        return static_cast<size_t>(elsewhere - candidates.begin());
    }

} // namespace

struct Placement::State {
    State(Board& board, Clock& clock, RandomSource& random, PlacementStrategy strategy, EdgeShedding shedding)
        : board(board)
        , clock(clock)
        , random(random)
        , strategy(strategy)
        , shedding(shedding)
    {
    }

    // What a selection goes by, beside the candidates.
    struct PickContext {
        Duration slowStart { 0 };
        CostEstimate cost;
        Duration targetLatency { 0 };
    };
    // Selection function of each strategy, in the order of PlacementStrategy.
    using Pick = const Candidate* (State::*)(const Candidates&, const PickContext&);
    static const std::array<Pick, 3> picks;
    // Compares two servers; the lower is chosen.
    using Measure = double (State::*)(const ServerRecord&, const PickContext&) const;

    const Candidate* pickRandom(const Candidates&, const PickContext&);
    const Candidate* pickTwoChoices(const Candidates&, const PickContext&);
    const Candidate* pickSoonestCompletion(const Candidates&, const PickContext&);
    const Candidate* lowerOfTwo(std::span<const Candidate>, Measure, const PickContext&);

    double loadOf(const ServerRecord& server, const PickContext& context) const
    {
        return load(server, context.slowStart);
    }
    double completionOf(const ServerRecord&, const PickContext&) const;
    double completionOf(const ServerRecord&, const PickContext&, double cost) const;
    Measure measureFor(const PickContext& context) const;
    PickContext contextFor(std::string_view service, const CostTraits&) const;

    double load(const ServerRecord&, Duration slowStart) const;
    double slowStartFactor(const ServerRecord&, Duration slowStart) const;
    Candidates eligibleServers(const ServerGroup&, std::span<const NodeId> tried) const;
    void recordResult(ServerRecord&, const PlacementChoice&, const CallCompletion&);
    void updateShedLevel(const CallCompletion&);
    void countCall(const CallCompletion&);
    double decayedShedLevel(const ShedRecord&) const;
    bool shouldShed(ShedRecord&, RequestContext&);
    Duration slowStartOf(std::string_view service) const;

    Board& board;
    Clock& clock;
    RandomSource& random;
    const CostModel costs { board };
    const PlacementStrategy strategy;
    const EdgeShedding shedding;
};

const std::array<Placement::State::Pick, 3> Placement::State::picks { &State::pickTwoChoices, &State::pickRandom,
    &State::pickSoonestCompletion };

namespace {

    constexpr std::array<std::string_view, 3> strategyNames { "two-choices", "pure-random", "soonest-completion" };

} // namespace

std::string_view toText(PlacementStrategy strategy) { return strategyNames[static_cast<size_t>(strategy)]; }

std::optional<PlacementStrategy> placementStrategyFromText(std::string_view text)
{
    const auto found = std::ranges::find(strategyNames, text);
    if (found == strategyNames.end())
        return std::nullopt;
    return static_cast<PlacementStrategy>(found - strategyNames.begin());
}

// Servers that are neither tried nor draining, without those set aside as long as enough servers remain.
Candidates Placement::State::eligibleServers(const ServerGroup& group, std::span<const NodeId> tried) const
{
    Candidates present;
    for (const auto& [node, server] : group) {
        const bool wasTried = std::find(tried.begin(), tried.end(), node) != tried.end();
        if (!wasTried && !server.announcement.draining)
            present.push_back({ node, &server });
    }
    if (strategy == PlacementStrategy::PureRandom)
        return present;

    // Excludes the servers that stay set aside longest first, and keeps a minimum number in use.
    const auto now = clock.now();
    std::sort(present.begin(), present.end(), [&](const Candidate& left, const Candidate& right) {
        return std::pair(eligibleAt(*left.record, now), left.node)
            < std::pair(eligibleAt(*right.record, now), right.node);
    });
    const auto floor = static_cast<size_t>(std::ceil(minimumFractionInUse * double(present.size())));
    while (present.size() > floor && eligibleAt(*present.back().record, now) > now)
        present.pop_back();
    return present;
}

double Placement::State::slowStartFactor(const ServerRecord& server, Duration slowStart) const
{
    const auto age = clock.now() - server.knownSince;
    if (slowStart <= Duration(0) || age >= slowStart)
        return 1;
    const double share = static_cast<double>(age.count()) / static_cast<double>(slowStart.count());
    return slowStartInitialFraction + (1 - slowStartInitialFraction) * share;
}

// Requests per expected slot of the server: the greater of its reported load, weighted by freshness, and the requests
// outstanding from this node.
double Placement::State::load(const ServerRecord& server, Duration slowStart) const
{
    const auto age = clock.now() - server.feedbackAt;
    const double freshness = std::max(0.0, 1 - double(age.count()) / double(feedbackLifetime.count()));
    const double reported = freshness * double(server.feedback.running + server.feedback.waiting);
    const double limit = freshness > 0 ? server.feedback.limit : server.announcement.slots;
    const double slots = std::max(1.0, limit * (freshness > 0 ? 1 : slowStartFactor(server, slowStart)));
    return (std::max(reported, double(server.outstanding)) + 1) / slots;
}

// When the request would complete there, in seconds. Others' requests are known as fresh as the last answer is.
double Placement::State::completionOf(const ServerRecord& server, const PickContext& context, double cost) const
{
    const auto now = clock.now();
    const auto age = now - server.feedbackAt;
    const double freshness = std::max(0.0, 1 - double(age.count()) / double(feedbackLifetime.count()));
    const double reported = freshness * double(server.feedback.running + server.feedback.waiting);
    ServerLoad load;
    load.limit = freshness > 0 ? server.feedback.limit : server.announcement.slots;
    load.ownRequests = server.outstanding;
    load.requests = std::max(reported, load.ownRequests);
    load.ownCost = server.outstandingCost;
    load.speed = speedAt(server.speed, now) * slowStartFactor(server, context.slowStart);
    return completionTime(load, context.cost, cost);
}

double Placement::State::completionOf(const ServerRecord& server, const PickContext& context) const
{
    return completionOf(server, context, context.cost.mean);
}

// While nothing is known of costs, servers are compared by their load.
Placement::State::Measure Placement::State::measureFor(const PickContext& context) const
{
    const bool usesCost = strategy == PlacementStrategy::SoonestCompletion && context.cost.mean > 0;
    return usesCost ? static_cast<Measure>(&State::completionOf) : &State::loadOf;
}

Placement::State::PickContext Placement::State::contextFor(std::string_view service, const CostTraits& traits) const
{
    PickContext context { slowStartOf(service), {}, traits.targetLatency };
    if (strategy == PlacementStrategy::SoonestCompletion)
        context.cost = costs.estimate(service, traits);
    return context;
}

const Candidate* Placement::State::pickRandom(const Candidates& candidates, const PickContext&)
{
    return &candidates[random.below(candidates.size())];
}

const Candidate* Placement::State::lowerOfTwo(
    std::span<const Candidate> candidates, Measure measure, const PickContext& context)
{
    const auto first = random.below(candidates.size());
    if (candidates.size() == 1)
        return &candidates[first];
    auto second = random.below(candidates.size() - 1);
    second += second >= first;
    const bool isFirstLower
        = (this->*measure)(*candidates[first].record, context) <= (this->*measure)(*candidates[second].record, context);
    return &candidates[isFirstLower ? first : second];
}

// Power of two choices in this zone; if the better server is busy, also among the servers in other zones.
const Candidate* Placement::State::pickTwoChoices(const Candidates& candidates, const PickContext& context)
{
    Candidates sorted(candidates);
    const auto inZone = partitionByZone(sorted, board.self().zone);
    const auto sameZone = std::span(sorted).first(inZone);
    const auto otherZones = std::span(sorted).subspan(inZone);
    const auto* best = sameZone.empty() ? nullptr : lowerOfTwo(sameZone, &State::loadOf, context);
    if (!otherZones.empty() && (!best || loadOf(*best->record, context) > crossZoneLoadThreshold)) {
        const auto* other = lowerOfTwo(otherZones, &State::loadOf, context);
        if (!best || loadOf(*other->record, context) + crossZoneLoadPenalty < loadOf(*best->record, context))
            best = other;
    }
    return &*std::find_if(
        candidates.begin(), candidates.end(), [&](const Candidate& entry) { return entry.record == best->record; });
}

// The sooner of two servers drawn in this zone; where that costs callers something, also of two in other zones. Two are
// drawn rather than all compared, so that entries that learn the same do not all choose the same server.
const Candidate* Placement::State::pickSoonestCompletion(const Candidates& candidates, const PickContext& context)
{
    if (context.cost.mean <= 0)
        return pickTwoChoices(candidates, context);
    Candidates sorted(candidates);
    const auto inZone = partitionByZone(sorted, board.self().zone);
    const auto sameZone = std::span(sorted).first(inZone);
    const auto otherZones = std::span(sorted).subspan(inZone);
    const Measure measure = measureFor(context);
    const auto* best = sameZone.empty() ? nullptr : lowerOfTwo(sameZone, measure, context);
    const auto isSoonEnough = [&](const Candidate& candidate) {
        const auto target = inSeconds(context.targetLatency) * targetShareInZone;
        return target > 0 && completionOf(*candidate.record, context, context.cost.tail) <= target;
    };
    if (!otherZones.empty() && (!best || !isSoonEnough(*best))) {
        const auto* other = lowerOfTwo(otherZones, measure, context);
        const auto there = completionOf(*other->record, context);
        const auto here = best ? completionOf(*best->record, context) : 0;
        if (!best || there + crossZoneTime + crossZoneTimeShare * here < here)
            best = other;
    }
    return &*std::find_if(
        candidates.begin(), candidates.end(), [&](const Candidate& entry) { return entry.record == best->record; });
}

Duration Placement::State::slowStartOf(std::string_view service) const
{
    const auto configuration = board.configuration().inForce();
    const auto* declared = configuration ? configuration->service(service) : nullptr;
    return declared ? declared->slowStart : Duration(0);
}

// Consecutive failures set a server aside; its health endpoint is never queried.
void Placement::State::recordResult(
    ServerRecord& server, const PlacementChoice& choice, const CallCompletion& completion)
{
    server.outstanding -= server.outstanding > 0;
    server.outstandingCost = server.outstanding ? std::max(0.0, server.outstandingCost - choice.expectedCost) : 0;
    const auto now = clock.now();
    if (completion.reason == Reason::None)
        recordSpeed(server.speed, choice.expectedCost, completion.backendTime, now);
    if (completion.feedback) {
        server.feedback = *completion.feedback;
        server.feedbackAt = now;
        server.announcement.draining |= completion.feedback->draining;
    }
    if (!isFailure(completion)) {
        server.failures = 0;
        if (completion.reason == Reason::None)
            server.setAsides = 0;
        return;
    }
    if (++server.failures < failuresToSetAside)
        return;
    server.failures = failuresToSetAside - 1;
    if (server.setAsideUntil > now)
        return;
    const auto doubled = initialSetAsideTime * (uint64_t(1) << std::min(server.setAsides, 5U));
    server.setAsideUntil = now + random.jittered(std::min<Duration>(doubled, maximumSetAsideTime), setAsideJitter);
    ++server.setAsides;
}

// A reported level decreases linearly to zero between one and two feedback lifetimes, so that requests are readmitted
// gradually when no answer brings a new level.
double Placement::State::decayedShedLevel(const ShedRecord& record) const
{
    const double age = double((clock.now() - record.at).count()) / double(feedbackLifetime.count());
    return record.level * std::clamp(2 - age, 0.0, 1.0);
}

// Whether to shed this request. If it passes, sets how many requests it represents.
bool Placement::State::shouldShed(ShedRecord& record, RequestContext& context)
{
    // 1. Requests of sufficient rank pass, and so do calls whose parent request is unknown.
    if (!context.parentKnown)
        return false;
    const double level = decayedShedLevel(record);
    const double survival = survivalAt(context.rank, context.depth, level);
    if (survival >= 1)
        return false;

    // 2. A few others pass as probes, in proportion to the passed requests, so that retries do not add probes.
    const double ratio = record.passed / std::max(1.0, record.shed);
    const double probe = context.depth == 1 ? probeFraction * std::min(1.0, ratio) : 0;
    const bool isShed = sheddingHeight(context) < level && random.unit() >= probe;
    (isShed ? record.shed : record.passed) += 1;
    if (record.passed + record.shed > countsDecayThreshold) {
        record.passed /= 2;
        record.shed /= 2;
    }

    // 3. A passed request also represents the shed ones.
    if (!isShed)
        context.represents
            = std::max(context.represents, 1 / std::max(probeFraction, survival + (1 - survival) * probe));
    return isShed;
}

// EWMA over the answers from all servers of a service; old reports lose their weight.
void Placement::State::updateShedLevel(const CallCompletion& completion)
{
    const double reported = completion.feedback->shedLevel;
    const auto now = clock.now();
    const FlowKey flow { completion.context.route, completion.context.account };
    board.shedRecords().with(flow, [&](auto& records) {
        auto found = records.find(flow);
        if (found == records.end()) {
            if (reported > 0)
                records.emplace(flow, ShedRecord { reported, now, 0, 0 });
            return;
        }
        auto& record = found->second;
        const double aged = 1 - std::exp(-double((now - record.at).count()) / double(shedLevelTimeConstant.count()));
        record.level += std::max(minimumShedLevelWeight, aged) * (reported - record.level);
        record.at = now;
        if (reported <= 0 && record.level < 1e-3)
            records.erase(found);
    });
}

void Placement::State::countCall(const CallCompletion& completion)
{
    board.routeCalls().update(RouteName(completion.parentRoute), [&](RouteCallsRecord& record) {
        record.calls[completion.context.route] += 1;
        if (record.requests < countsDecayThreshold)
            return;
        record.requests /= 2;
        for (auto& [route, count] : record.calls)
            count /= 2;
    });
}

Placement::Placement(
    Board& board, Clock& clock, RandomSource& random, PlacementStrategy strategy, EdgeShedding shedding)
    : m_state(std::make_unique<State>(board, clock, random, strategy, shedding))
{
}

Placement::~Placement() = default;

void Placement::refresh()
{
    // 1. Collect the current announcements.
    std::map<ServiceName, ServerGroup> announced;
    const auto now = m_state->clock.now();
    m_state->board.members().forEach([&](const NodeId& node, MemberRecord& member) {
        if (member.said.state != MemberState::Alive)
            return;
        for (const auto& server : member.said.servers) {
            announced[server.service].emplace(node, makeServerRecord(member.said, server, now));
        }
    });

    // 2. Keep the state of unchanged servers; remove the rest.
    m_state->board.servers().eraseIf(
        [&](const ServiceName& service, const ServerGroup&) { return !announced.contains(service); });
    for (auto& entry : announced) {
        auto& group = entry.second;
        m_state->board.servers().update(entry.first, [&](ServerGroup& known) {
            carryOverState(group, known);
            known = std::move(group);
        });
    }
}

std::optional<PlacementChoice> Placement::choose(
    std::string_view service, std::span<const NodeId> tried, const CostTraits& traits)
{
    const auto context = m_state->contextFor(service, traits);
    std::optional<PlacementChoice> choice;
    m_state->board.servers().visit(ServiceName(service), [&](ServerGroup& group) {
        const auto candidates = m_state->eligibleServers(group, tried);
        if (candidates.empty())
            return;
        const auto pick = State::picks[static_cast<size_t>(m_state->strategy)];
        const auto* picked = (*m_state.*pick)(candidates, context);
        choice = { { picked->node, ServiceName(service) }, picked->record->endpoint, context.cost.mean };
    });
    return choice;
}

std::optional<PlacementChoice> Placement::chooseAmong(
    std::string_view service, std::span<const NodeId> nodes, const CostTraits& traits)
{
    const auto context = m_state->contextFor(service, traits);
    const auto measure = m_state->measureFor(context);
    std::optional<PlacementChoice> choice;
    m_state->board.servers().visit(ServiceName(service), [&](ServerGroup& group) {
        auto candidates = m_state->eligibleServers(group, {});
        std::erase_if(candidates, [&](const Candidate& candidate) {
            return std::find(nodes.begin(), nodes.end(), candidate.node) == nodes.end();
        });
        const auto best = std::ranges::min_element(candidates, {},
            [&](const Candidate& candidate) { return (*m_state.*measure)(*candidate.record, context); });
        if (best != candidates.end())
            choice = { { best->node, ServiceName(service) }, best->record->endpoint, context.cost.mean };
    });
    return choice;
}

void Placement::callStarted(const PlacementChoice& choice)
{
    m_state->board.servers().visit(choice.server.service, [&](ServerGroup& group) {
        const auto found = group.find(choice.server.node);
        if (found == group.end())
            return;
        ++found->second.outstanding;
        found->second.outstandingCost += choice.expectedCost;
    });
}

void Placement::callCompleted(const PlacementChoice& choice, const CallCompletion& completion)
{
    m_state->board.servers().visit(choice.server.service, [&](ServerGroup& group) {
        const auto found = group.find(choice.server.node);
        if (found != group.end())
            m_state->recordResult(found->second, choice, completion);
    });
    const bool learnsCost = m_state->strategy == PlacementStrategy::SoonestCompletion;
    if (learnsCost && completion.reason == Reason::None && completion.backendTime > Duration(0))
        m_state->costs.record(choice.server.service, { completion.context.route, completion.bodyBytes, Duration(0) },
            completion.backendTime);
    if (completion.feedback)
        m_state->updateShedLevel(completion);
    if (!completion.parentRoute.empty())
        m_state->countCall(completion);
}

// Sheds the same requests that the downstream servers would shed, so that no work is done for them.
bool Placement::shedAtEntry(RequestContext& context)
{
    if (m_state->shedding == EdgeShedding::Off)
        return false;
    bool isShed = false;
    m_state->board.shedRecords().visit(
        { context.route, context.account }, [&](ShedRecord& record) { isShed = m_state->shouldShed(record, context); });
    return isShed;
}

} // namespace Vanillaridge

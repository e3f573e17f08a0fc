#include "admission/Admission.h"

#include "admission/Gate.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    // Calls per request from which a route is assumed to require the called route.
    constexpr double requiredCallRatio = 0.5;
    // Requests to count before the call ratios are used.
    constexpr double neededRequests = 8;
    // Time-to-live of a shed record.
    constexpr Duration shedRecordTtl = seconds(1);
    // Share of requests let through as probes although they would be shed downstream, to detect when shedding stops:
    // about one per second and guard at 100 requests per second.
    constexpr double probeFraction = 0.01;

} // namespace

std::string_view toText(LimitCause cause)
{
    constexpr std::array<std::string_view, 4> names { "none", "rejections", "latency", "growth" };
    return names[static_cast<size_t>(cause)];
}

struct Admission::State {
    State(Board& board, Clock& clock, RandomSource& random, AdmissionStrategy strategy)
        : board(board)
        , clock(clock)
        , random(random)
        , strategy(strategy)
    {
    }

    // Announcement of a local backend server.
    struct Announced : ServerAnnouncement {
        std::optional<Duration> coldLeft;
    };

    // Empty if the service has no local backend server.
    std::optional<Announced> announced(const ServiceName& service)
    {
        std::optional<Announced> found;
        board.localServers().visit(service, [&](LocalServerRecord& server) {
            found = Announced { server.announcement, server.coldLeft };
        });
        return found;
    }

    Gate& gateOf(const ServiceName& service)
    {
        return gates.with(service, [&](auto& map) -> Gate& {
            auto& gate = map[service];
            if (!gate)
                gate = std::make_unique<Gate>(clock, random, strategy);
            return *gate;
        });
    }

    Gate* existingGate(const ServiceName& service)
    {
        Gate* gate = nullptr;
        gates.visit(service, [&](std::unique_ptr<Gate>& found) { gate = found.get(); });
        return gate;
    }

    // The configuration and the announcement both cap the slots: the lower value applies.
    GateSettings settingsOf(const ServiceName& service, const Announced& announcement) const
    {
        GateSettings settings { .slots = announcement.slots, .generation = announcement.generation };
        const auto configuration = board.configuration().inForce();
        const Service* declared = configuration ? configuration->service(service) : nullptr;
        const Service fallback;
        settings.slowStart = announcement.coldLeft.value_or((declared ? *declared : fallback).slowStart);
        settings.queueLimit = (declared ? *declared : fallback).queueLimit;
        if (declared)
            settings.slots = settings.slots ? std::min(settings.slots, declared->slots) : declared->slots;
        if (configuration)
            settings.policy = configuration->policy().overload;
        return settings;
    }

    // Load of a backend server; the shed level is the account's if one is given.
    LoadFeedback loadOf(const ServiceName& service, std::optional<std::string_view> account)
    {
        LoadFeedback load;
        if (const auto* gate = existingGate(service))
            load = gate->feedback(account);
        load.service = service;
        const auto announcement = announced(service);
        load.draining = !announcement || announcement->draining || board.draining();
        return load;
    }

    // Downstream routes that most requests of this route call.
    std::vector<RouteName> requiredRoutes(const RouteName& route)
    {
        std::vector<RouteName> required;
        board.routeCalls().visit(route, [&](RouteCallsRecord& record) {
            if (record.requests < neededRequests)
                return;
            for (const auto& [called, count] : record.calls) {
                if (count >= requiredCallRatio * record.requests)
                    required.push_back(called);
            }
        });
        return required;
    }

    double downstreamShedLevel(const RequestContext& context)
    {
        double level = 0;
        for (const auto& route : requiredRoutes(context.route)) {
            // Calls to open routes carry no account.
            for (const auto& account : { context.account, AccountName() }) {
                board.shedRecords().visit({ route, account }, [&](ShedRecord& record) {
                    if (clock.now() - record.at < shedRecordTtl)
                        level = std::max(level, record.level);
                });
            }
        }
        return level;
    }

    // Whether a request at the root of its call tree would be shed downstream, which would waste all work done for it.
    // A service's guards see all its requests, so they know of downstream load that an entry with few requests misses.
    bool isShedDownstream(const RequestContext& context, double level)
    {
        if (strategy != AdmissionStrategy::Adaptive || !context.parentKnown || context.depth > 1)
            return false;
        const double admittedShare = survivalAt(context.rank, context.depth, level);
        if (admittedShare >= 1)
            return false;
        if (sheddingHeight(context) < level && random.unit() >= probeFraction)
            return true;

        // Weights the requests let through for the shed ones, so that the overloaded service sees the full demand.
        board.attempts().visit(context.attempt, [&](AttemptRecord& record) {
            const double passedShare = admittedShare + (1 - admittedShare) * probeFraction;
            record.context.represents = std::max(record.context.represents, 1 / passedShare);
        });
        return false;
    }

    Board& board;
    Clock& clock;
    RandomSource& random;
    const AdmissionStrategy strategy;
    Sharded<ServiceName, std::unique_ptr<Gate>> gates;
};

Admission::Admission(Board& board, Clock& clock, RandomSource& random, AdmissionStrategy strategy)
    : m_state(std::make_unique<State>(board, clock, random, strategy))
{
}

Admission::~Admission() = default;

// A backend server that is draining or gone gets no new work.
AdmissionDecision Admission::offer(const RequestContext& context, Instant deadline)
{
    const auto announcement = m_state->announced(context.service);
    if (!announcement)
        return { AdmissionVerdict::Refused, Reason::NoServer };
    if (announcement->draining || m_state->board.draining())
        return { AdmissionVerdict::Refused, Reason::Draining };
    const double downstreamLevel = m_state->downstreamShedLevel(context);
    if (m_state->isShedDownstream(context, downstreamLevel))
        return { AdmissionVerdict::Refused, Reason::ShedAtGuard };
    auto& gate = m_state->gateOf(context.service);
    if (gate.hasStaleSettings())
        gate.configure(m_state->settingsOf(context.service, *announcement));
    return gate.offer(
        context, deadline, downstreamLevel > 0 ? DownstreamCapacity::Short : DownstreamCapacity::Sufficient);
}

void Admission::finished(std::string_view service, const AttemptId& attempt, CompletionStatus status)
{
    auto* gate = m_state->existingGate(ServiceName(service));
    const auto route = gate ? gate->finished(attempt, status) : std::nullopt;
    // Attempts that were refused or failed may not have made all their calls.
    if (route && status == CompletionStatus::Served)
        m_state->board.routeCalls().visit(*route, [](RouteCallsRecord& record) { record.requests += 1; });
}

void Admission::abandon(std::string_view service, const AttemptId& attempt)
{
    if (auto* gate = m_state->existingGate(ServiceName(service)))
        gate->abandon(attempt);
}

std::vector<AdmissionChange> Admission::processQueues()
{
    std::vector<AdmissionChange> changes;
    m_state->gates.forEach([&](const ServiceName& service, std::unique_ptr<Gate>& gate) {
        gate->processQueue(service, m_state->board.lag(), changes);
    });
    return changes;
}

LoadFeedback Admission::feedback(std::string_view service) const
{
    return m_state->loadOf(ServiceName(service), std::nullopt);
}

LoadFeedback Admission::feedback(const RequestContext& context) const
{
    auto load = m_state->loadOf(context.service, context.account);
    load.shedLevel = std::max(load.shedLevel, m_state->downstreamShedLevel(context));
    return load;
}

LimitReport Admission::limitReport(std::string_view service) const
{
    const auto* gate = m_state->existingGate(ServiceName(service));
    return gate ? gate->limitReport() : LimitReport {};
}

} // namespace Vanillaridge

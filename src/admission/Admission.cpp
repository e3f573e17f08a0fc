#include "admission/Admission.h"

#include "admission/Gate.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    // Calls per request of a route from which on its requests are taken to need the called route.
    constexpr double neededCalls = 0.5;
    // Requests to count before their calls are believed.
    constexpr double requestsToLearn = 8;
    // Age at which a shed record counts no more.
    constexpr Duration shedRecordLife = seconds(1);
    // Requests that pass although they would be shed further down, to learn when that ends: about one a second at each
    // guard while a hundred come.
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

    // A backend server as it announced itself here.
    struct Announced : ServerAnnouncement {
        std::optional<Duration> coldLeft;
    };

    // Nothing when there is none.
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

    // Declared slots are a ceiling twice over: by the configuration and by the announcement.
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

    // The load of a backend server, shed levels being those of the account if one is given.
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

    // Routes that most requests of this route go on to call.
    std::vector<RouteName> neededRoutes(const RouteName& route)
    {
        std::vector<RouteName> needed;
        board.routeCalls().visit(route, [&](RouteCallsRecord& record) {
            if (record.requests < requestsToLearn)
                return;
            for (const auto& [called, count] : record.calls) {
                if (count >= neededCalls * record.requests)
                    needed.push_back(called);
            }
        });
        return needed;
    }

    double shedLevelBelow(const RequestContext& context)
    {
        double level = 0;
        for (const auto& route : neededRoutes(context.route)) {
            // Routes that are open to all are called on behalf of no account.
            for (const auto& account : { context.account, AccountName() }) {
                board.shedRecords().visit({ route, account }, [&](ShedRecord& record) {
                    if (clock.now() - record.at < shedRecordLife)
                        level = std::max(level, record.level);
                });
            }
        }
        return level;
    }

    // Whether a request that enters the tree here would be shed further down, so that all work for it would be wasted.
    // The guards of a service see all its requests, and know such loads when an entry that has few of them does not.
    bool isShedBelow(const RequestContext& context, double level)
    {
        if (strategy != AdmissionStrategy::Adaptive || !context.parentKnown || context.depth > 1)
            return false;
        const double survival = survivalAt(context.rank, context.depth, level);
        if (survival >= 1)
            return false;
        if (sheddingHeight(context) < level && random.unit() >= probeFraction)
            return true;

        // What passes stands for what does not, so that the demand is seen where it is too high.
        board.attempts().visit(context.attempt, [&](AttemptRecord& record) {
            const double passing = survival + (1 - survival) * probeFraction;
            record.context.represents = std::max(record.context.represents, 1 / passing);
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

// A backend server that has left, or is leaving, gets no new work from this moment on.
AdmissionDecision Admission::offer(const RequestContext& context, Instant deadline)
{
    const auto announcement = m_state->announced(context.service);
    if (!announcement)
        return { AdmissionVerdict::Refused, Reason::NoServer };
    if (announcement->draining || m_state->board.draining())
        return { AdmissionVerdict::Refused, Reason::Draining };
    const double levelBelow = m_state->shedLevelBelow(context);
    if (m_state->isShedBelow(context, levelBelow))
        return { AdmissionVerdict::Refused, Reason::ShedAtGuard };
    auto& gate = m_state->gateOf(context.service);
    if (gate.wantsSettings())
        gate.configure(m_state->settingsOf(context.service, *announcement));
    return gate.offer(context, deadline, levelBelow > 0 ? RoomBelow::Short : RoomBelow::Enough);
}

void Admission::finished(std::string_view service, const AttemptId& attempt, AdmittedEnd end)
{
    auto* gate = m_state->existingGate(ServiceName(service));
    const auto route = gate ? gate->finished(attempt, end) : std::nullopt;
    // One that was refused or failed may not have made all its calls.
    if (route && end == AdmittedEnd::Served)
        m_state->board.routeCalls().visit(*route, [](RouteCallsRecord& record) { record.requests += 1; });
}

void Admission::abandon(std::string_view service, const AttemptId& attempt)
{
    if (auto* gate = m_state->existingGate(ServiceName(service)))
        gate->abandon(attempt);
}

std::vector<AdmissionChange> Admission::settle()
{
    std::vector<AdmissionChange> changes;
    m_state->gates.forEach([&](const ServiceName& service, std::unique_ptr<Gate>& gate) {
        gate->settle(service, m_state->board.lag(), changes);
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
    load.shedLevel = std::max(load.shedLevel, m_state->shedLevelBelow(context));
    return load;
}

LimitReport Admission::limitReport(std::string_view service) const
{
    const auto* gate = m_state->existingGate(ServiceName(service));
    return gate ? gate->limitReport() : LimitReport {};
}

} // namespace Vanillaridge

// Backend servers of one service under a stream of requests, and entries that place them, under an injected clock.
// Servers differ in speed, change it, and work on a bounded number of requests at once; requests that look alike differ
// in cost. Only placement is the product's own here.
#pragma once

#include "placement/Placement.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>

namespace Vanillaridge {

struct PlacementCase {
    std::string name;
    size_t servers { 12 };
    size_t entries { 6 };
    size_t zones { 3 };
    uint32_t slots { 20 };
    // Speeds of the servers, in turn.
    std::vector<double> speeds { 0.5, 1.0, 1.0, 1.5 };
    // Share of what the servers can do that is asked for.
    double load { 0.8 };
    Duration length { seconds(6) };
    // Two routes: mean cost, and the share of all requests. The second has the greater cost.
    std::array<double, 2> costs { 0.07, 0.28 };
    double heavyShare { 0.33 };
    Duration targetLatency { milliseconds(600) };
    // A share of the servers is this much slower in every second period, as of a noisy neighbour.
    double noisyShare { 0 };
    double noise { 2.5 };
    Duration noisePeriod { milliseconds(600) };
    // From then on the first server has this speed, and the costs of the first route are this much greater.
    Duration changeAt { 0 };
    double changedSpeed { 0 };
    double changedCost { 1 };
};

struct PlacementResult {
    double inTarget { 0 };
    Duration p99 { 0 };
    // Greatest work of a server over the mean of those of its speed.
    double imbalance { 0 };
    double inZone { 0 };
    size_t requests { 0 };
};

class PlacementModel {
public:
    PlacementModel(PlacementCase modelled, PlacementStrategy strategy, uint64_t seed = 20260401)
        : m_case(std::move(modelled))
        , m_random(makeSeededRandom(seed))
        , m_start(m_clock.now())
    {
        for (size_t i = 0; i < m_case.servers; ++i)
            m_servers.push_back({ m_case.speeds[i % m_case.speeds.size()], m_random->unit() < m_case.noisyShare });
        for (size_t i = 0; i < m_case.entries; ++i)
            m_entries.push_back(std::make_unique<Entry>(*this, i, strategy));
    }

    PlacementResult run()
    {
        schedule(m_clock.now(), [this] { arrive(); });
        while (!m_events.empty()) {
            const auto event = m_events.top();
            m_events.pop();
            m_clock.advance(event.at - m_clock.now());
            event.run();
        }
        return result();
    }

private:
    struct Event {
        Instant at;
        uint64_t order;
        std::function<void()> run;
        bool operator<(const Event& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
    };

    struct Request {
        size_t entry { 0 };
        size_t server { 0 };
        PlacementChoice choice;
        RequestContext context;
        double cost { 0 };
        Instant arrivedAt;
        Instant startedAt;
    };
    using RequestPointer = std::shared_ptr<Request>;

    struct Server {
        double speed { 1 };
        bool noisy { false };
        uint32_t running { 0 };
        double work { 0 };
        std::deque<RequestPointer> waiting {};
    };

    struct Entry {
        Entry(PlacementModel& model, size_t index, PlacementStrategy strategy)
            : board({ "127.0.0.1:" + std::to_string(1000 + index), model.zoneOf(index), { 1 }, { 1 } })
            , placement(board, model.m_clock, *model.m_random, strategy)
        {
            Declarations declarations;
            declarations.services.push_back(
                { .name = "service", .slots = model.m_case.slots, .slowStart = seconds(0) });
            board.configuration().adopt(std::make_shared<const Configuration>(1, std::move(declarations)));
            for (size_t i = 0; i < model.m_servers.size(); ++i) {
                board.members().update(NodeId { i + 1 }, [&](MemberRecord& member) {
                    member.said.endpoint = std::to_string(i);
                    member.said.zone = model.zoneOf(i / model.m_case.speeds.size());
                    member.said.state = MemberState::Alive;
                    member.said.servers = { { "service", 1, model.m_case.slots, false } };
                });
            }
            placement.refresh();
        }

        Board board;
        Placement placement;
    };

    ZoneName zoneOf(size_t index) const { return "zone-" + std::to_string(index % m_case.zones); }
    Duration elapsed() const { return m_clock.now() - m_start; }
    bool hasChanged() const { return m_case.changeAt > Duration(0) && elapsed() >= m_case.changeAt; }
    double exponential(double mean) { return -mean * std::log(1 - m_random->unit()); }

    void schedule(Instant at, std::function<void()> run) { m_events.push({ at, m_order++, std::move(run) }); }

    double speedOf(size_t index) const
    {
        const auto& server = m_servers[index];
        const bool isNoisy = server.noisy && (elapsed() / m_case.noisePeriod) % 2 == 0;
        const double speed = index == 0 && hasChanged() && m_case.changedSpeed > 0 ? m_case.changedSpeed : server.speed;
        return isNoisy ? speed / m_case.noise : speed;
    }

    double rate() const
    {
        double capacity = 0;
        for (const auto& server : m_servers)
            capacity += server.speed * m_case.slots;
        const double meanCost = m_case.costs[0] * (1 - m_case.heavyShare) + m_case.costs[1] * m_case.heavyShare;
        return m_case.load * capacity / meanCost;
    }

    void arrive()
    {
        if (elapsed() >= m_case.length)
            return;
        schedule(m_clock.now() + fromSeconds(exponential(1 / rate())), [this] { arrive(); });
        const size_t route = m_random->unit() < m_case.heavyShare;
        const auto request = std::make_shared<Request>();
        request->entry = m_random->below(m_entries.size());
        request->context.route = route ? "heavy" : "light";
        const double changed = !route && hasChanged() ? m_case.changedCost : 1;
        // Half of the cost is the same for all, the rest varies widely.
        request->cost = m_case.costs[route] * changed * (0.5 + exponential(0.5));
        request->arrivedAt = m_clock.now();
        auto& entry = *m_entries[request->entry];
        request->choice = *entry.placement.choose("service", {}, { request->context.route, 0, m_case.targetLatency });
        entry.placement.callStarted(request->choice);
        request->server = request->choice.server.node.value - 1;
        auto& server = m_servers[request->server];
        m_inZone += zoneOf(request->server / m_case.speeds.size()) == entry.board.self().zone;
        if (server.running < m_case.slots)
            start(request);
        else
            server.waiting.push_back(request);
    }

    void start(const RequestPointer& request)
    {
        auto& server = m_servers[request->server];
        ++server.running;
        request->startedAt = m_clock.now();
        server.work += request->cost;
        schedule(
            m_clock.now() + fromSeconds(request->cost / speedOf(request->server)), [this, request] { end(request); });
    }

    void end(const RequestPointer& request)
    {
        auto& server = m_servers[request->server];
        --server.running;
        const LoadFeedback feedback { .service = "service",
            .running = server.running,
            .waiting = static_cast<uint32_t>(server.waiting.size()),
            .limit = m_case.slots };
        const auto latency = m_clock.now() - request->arrivedAt;
        m_latencies.push_back(latency);
        m_entries[request->entry]->placement.callCompleted(request->choice,
            { request->context, {}, Reason::None, &feedback, latency, m_clock.now() - request->startedAt, 0 });
        if (server.waiting.empty())
            return;
        const auto next = server.waiting.front();
        server.waiting.pop_front();
        start(next);
    }

    PlacementResult result()
    {
        PlacementResult result;
        result.requests = m_latencies.size();
        std::ranges::sort(m_latencies);
        const auto inTarget = std::ranges::upper_bound(m_latencies, m_case.targetLatency) - m_latencies.begin();
        result.inTarget = double(inTarget) / double(m_latencies.size());
        result.p99 = m_latencies[m_latencies.size() * 99 / 100];
        result.inZone = m_inZone / double(m_latencies.size());
        for (size_t kind = 0; kind < m_case.speeds.size(); ++kind) {
            double most = 0;
            double sum = 0;
            size_t count = 0;
            for (size_t i = kind; i < m_servers.size(); i += m_case.speeds.size()) {
                most = std::max(most, m_servers[i].work);
                sum += m_servers[i].work;
                ++count;
            }
            if (count && sum > 0)
                result.imbalance = std::max(result.imbalance, most * double(count) / sum);
        }
        return result;
    }

    const PlacementCase m_case;
    ManualClock m_clock;
    std::unique_ptr<RandomSource> m_random;
    const Instant m_start;
    std::vector<Server> m_servers;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::priority_queue<Event> m_events;
    uint64_t m_order { 0 };
    std::vector<Duration> m_latencies;
    double m_inZone { 0 };
};

} // namespace Vanillaridge

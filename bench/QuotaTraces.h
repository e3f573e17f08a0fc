// Traces that all quota strategies are put through, and what each made of them.
#pragma once

#include "../tests/QuotaWorld.h"

#include <cmath>
#include <fmt/format.h>

namespace Vanillaridge {

// Estimated size of a quota message on the wire with its framing, MAC and TCP/IP headers, in bytes.
constexpr double messageBytes = 150;

// What one strategy made of one trace.
struct TraceResult {
    // Largest excess of any account in any window, in requests.
    double excess = -INFINITY;
    size_t owed = 0;
    size_t refused = 0;
    // Part of its in-rate requests that the worst-served account had admitted.
    double worstServed = 1;
    AccountName worstAccount;
    // Messages per second, sent and received, of a node on average and of the busiest.
    double messages = 0;
    double busiest = 0;
    double storeCalls = 0;
};

// The traffic of a trace, and the faults in it.
struct Trace {
    std::string_view name;
    Duration length;
    // Chance of a request to enter at node 0 instead of any node.
    double skew = 0;
    // Factor on the first account's load.
    double surge = 1;
    // Whether accounts send whole bursts at one node instead of a steady flow.
    bool bursts = false;
    // Called before each millisecond, with the time since the trace began.
    std::function<void(QuotaWorld&, Duration)> faults = [](QuotaWorld&, Duration) {};
};

inline bool at(Duration elapsed, Duration moment) { return elapsed == moment; }

class TraceRun {
public:
    TraceRun(const Trace& trace, std::string_view strategy, size_t nodes, const QuotaSettings& settings,
        std::vector<ClientAccount> accounts)
        : m_trace(trace)
        , m_accounts(std::move(accounts))
        , m_world(nodes, settings, declare(strategy), seed)
    {
    }

    TraceResult run()
    {
        warmUp();
        const size_t calls = m_world.objects.calls;
        for (auto& node : m_world.nodes)
            node->messages = 0;
        const Instant start = m_world.clock.now();
        while (m_world.clock.now() - start < m_trace.length) {
            const auto elapsed = m_world.clock.now() - start;
            m_trace.faults(m_world, elapsed);
            for (size_t i = 0; i < m_accounts.size(); ++i)
                offer(m_accounts[i], i ? 1 : m_trace.surge);
            m_world.step();
        }
        m_world.run(milliseconds(500));
        auto result = judge();
        measureMessages(result, m_world.objects.calls - calls);
        return result;
    }

private:
    static constexpr uint64_t seed = 20260401;
    // Steady flows take this part of an account's rate.
    static constexpr double load = 0.9;

    Declarations declare(std::string_view strategy) const
    {
        Declarations declarations;
        declarations.accounts = m_accounts;
        declarations.policy.quota = strategy;
        return declarations;
    }

    // Until slots are held and buckets full.
    void warmUp()
    {
        double longest = 0;
        for (const auto& account : m_accounts)
            longest = std::max(longest, account.burst / account.rate);
        m_world.run(seconds(5) + seconds(static_cast<int64_t>(std::ceil(longest))));
    }

    size_t entry()
    {
        for (;;) {
            const size_t at = m_world.random->unit() < m_trace.skew ? 0 : m_world.random->below(m_world.nodes.size());
            if (m_world.nodes[at]->running && !m_world.nodes[at]->paused)
                return at;
        }
    }

    void offer(const ClientAccount& account, double factor)
    {
        const double expected = factor * load * account.rate / 1000;
        if (!m_trace.bursts) {
            for (double rest = expected; rest >= 1 || m_world.random->unit() < rest; --rest)
                m_world.request(entry(), account.name);
        } else if (m_world.random->unit() < expected / account.burst) {
            const size_t at = entry();
            for (int i = 0; i < static_cast<int>(account.burst); ++i)
                m_world.request(at, account.name);
        }
    }

    TraceResult judge()
    {
        TraceResult result;
        for (const auto& account : m_accounts) {
            const auto& history = m_world.histories[account.name];
            const auto changed = m_world.configuredRate(account.name).value_or(account.rate);
            const double growth = changed / account.rate;
            result.excess = std::max(result.excess, history.excess(changed, account.burst * growth));
            const auto inRate = history.inRate(account.rate, account.burst);
            result.owed += inRate.owed;
            result.refused += inRate.refused;
            const double served
                = inRate.owed ? 1 - static_cast<double>(inRate.refused) / static_cast<double>(inRate.owed) : 1;
            if (served < result.worstServed) {
                result.worstServed = served;
                result.worstAccount = account.name;
            }
        }
        return result;
    }

    void measureMessages(TraceResult& result, size_t calls) const
    {
        const double span = std::chrono::duration<double>(m_trace.length).count();
        for (const auto& node : m_world.nodes) {
            const double rate = static_cast<double>(node->messages) / span;
            result.messages += rate / static_cast<double>(m_world.nodes.size());
            result.busiest = std::max(result.busiest, rate);
        }
        result.storeCalls = static_cast<double>(calls) / span;
    }

    const Trace& m_trace;
    std::vector<ClientAccount> m_accounts;
    QuotaWorld m_world;
};

// The first account at twice its rate and burst.
inline Declarations doubled(Declarations declarations)
{
    declarations.accounts.front().rate *= 2;
    declarations.accounts.front().burst *= 2;
    return declarations;
}

// The node that holds most slots, and so does most harm when it goes.
inline size_t busiestHolder(const QuotaWorld& world)
{
    size_t busiest = 0;
    size_t most = 0;
    for (size_t i = 0; i < world.nodes.size(); ++i) {
        const auto held = world.nodes[i]->quota->heldSlots().size();
        if (held > most) {
            most = held;
            busiest = i;
        }
    }
    return busiest;
}

inline void split(QuotaWorld& world, bool apart)
{
    for (size_t i = 0; i < world.nodes.size(); ++i)
        world.nodes[i]->side = apart && i % 2 ? 1 : 0;
}

// Stops one node after another cleanly and replaces it.
inline void roll(QuotaWorld& world, Duration elapsed, Duration interval)
{
    const auto turn = static_cast<size_t>(elapsed / interval);
    const auto within = elapsed % interval;
    if (turn >= world.nodes.size())
        return;
    if (at(within, seconds(1)))
        world.release(turn);
    if (at(within, seconds(2)))
        world.crash(turn);
    if (at(within, seconds(3)))
        world.restart(turn);
}

inline std::vector<Trace> traces(const QuotaSettings& settings)
{
    const Duration outage = settings.leaseTerm * 4 / 5 * 2 / 3;
    const Duration longPause = settings.leaseTerm + seconds(30);
    return {
        { "even entry", seconds(60) },
        { "skewed entry", seconds(60), 0.9 },
        { "one account at 5x", seconds(60), 0, 5 },
        { "bursts at one node", seconds(120), 0, 1, true },
        { "crash", seconds(120), 0, 1, false,
            [](QuotaWorld& world, Duration elapsed) {
                if (at(elapsed, seconds(20)))
                    world.crash(busiestHolder(world));
            } },
        { "crash and replacement", settings.leaseTerm + seconds(60), 0, 1, false,
            [](QuotaWorld& world, Duration elapsed) {
                static size_t s_crashed = 0;
                if (at(elapsed, seconds(20)))
                    world.crash(s_crashed = busiestHolder(world));
                if (at(elapsed, seconds(30)))
                    world.restart(s_crashed);
            } },
        { "pause past the lease", longPause + seconds(60), 0, 3, false,
            [=](QuotaWorld& world, Duration elapsed) {
                if (at(elapsed, seconds(10)))
                    world.pause(3);
                if (at(elapsed, seconds(10) + longPause))
                    world.resume(3);
            } },
        { "partition", seconds(120), 0, 1, false,
            [](QuotaWorld& world, Duration elapsed) {
                if (at(elapsed, seconds(20)) || at(elapsed, seconds(80)))
                    split(world, elapsed < seconds(50));
            } },
        { "store outage", outage + seconds(60), 0, 1, false,
            [=](QuotaWorld& world, Duration elapsed) {
                if (at(elapsed, seconds(20)) || at(elapsed, seconds(20) + outage))
                    world.objects.down = elapsed < seconds(30);
            } },
        { "outage and crash", outage + seconds(60), 0, 1, false,
            [=](QuotaWorld& world, Duration elapsed) {
                if (at(elapsed, seconds(20)) || at(elapsed, seconds(20) + outage))
                    world.objects.down = elapsed < seconds(30);
                if (at(elapsed, seconds(40)))
                    world.crash(busiestHolder(world));
            } },
        { "rolling replacement", seconds(100), 0, 1, false,
            [](QuotaWorld& world, Duration elapsed) { roll(world, elapsed, seconds(5)); } },
        { "rate doubled", seconds(60), 0, 3, false,
            [](QuotaWorld& world, Duration elapsed) {
                // Nodes adopt the change one after the other.
                const auto turn = (elapsed - seconds(20)) / milliseconds(300);
                if (elapsed >= seconds(20) && elapsed % milliseconds(300) == seconds(20) % milliseconds(300)
                    && turn < static_cast<int64_t>(world.nodes.size()))
                    world.configure(static_cast<size_t>(turn), doubled(world.declarations()));
            } },
    };
}

} // namespace Vanillaridge

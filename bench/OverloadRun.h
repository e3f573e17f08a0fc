/// One run of an overload case with the real controllers, and what is measured in it.
#pragma once

#include "FakeFleet.h"

#include <cmath>

namespace Vanillaridge {

/// The sizes of the two deployments. The last tier is the narrowest and does the longest work.
enum class Deployment : uint8_t { SaengChai, Altai };

constexpr Duration frontWork = milliseconds(10);
constexpr Duration lastWork = milliseconds(50);

inline std::vector<Tier> chainOf(Deployment deployment, uint32_t depth)
{
    const std::vector<Tier> front = deployment == Deployment::SaengChai
        ? std::vector<Tier> { { 4, 100, frontWork }, { 4, 100, frontWork }, { 4, 100, frontWork } }
        : std::vector<Tier> { { 5, 200, frontWork }, { 4, 300, frontWork }, { 3, 350, frontWork } };
    std::vector<Tier> chain;
    for (uint32_t i = 0; i + 1 < depth; ++i)
        chain.push_back(front[i % front.size()]);
    chain.push_back(deployment == Deployment::SaengChai ? Tier { 4, 35, lastWork } : Tier { 3, 40, lastWork });
    return chain;
}

/// One client account's load.
struct AccountLoad {
    AccountName name;
    /// Declared rate, as a share of the fleet's capacity.
    double share { 0 };
    /// How many times its rate it sends while the trigger lasts.
    double excess { 1 };
};

/// One case: load over time, what goes wrong, and for how long.
struct OverloadCase {
    std::string name;
    Deployment deployment { Deployment::SaengChai };
    uint32_t depth { 1 };
    /// Load before, during and after the trigger, as a share of the capacity.
    double before { 0.7 };
    double during { 2 };
    double after { 0.7 };
    Duration warmUp { seconds(2) };
    Duration trigger { seconds(5) };
    Duration rest { seconds(4) };
    /// Slowness of the last tier during the trigger.
    double slowness { 1 };
    /// Times that a caller repeats a failed request, soon and whatever it was told.
    uint32_t hardRetries { 0 };
    double excessOfFirstAccount { 1 };
    /// Whether accounts are cut to their rates before, as the quota controller does.
    bool ratesEnforced { false };
    bool coldStart { false };
    bool lyingServer { false };
    bool silentZone { false };
    bool failing { false };
    Duration patience { seconds(1) };
};

/// Strategies to run a case with.
struct Contestant {
    std::string name;
    AdmissionStrategy admission { AdmissionStrategy::Adaptive };
    EdgeShedding edge { EdgeShedding::On };
    RetryStrategy retry { RetryStrategy::Budget };
    PlacementStrategy placement { PlacementStrategy::TwoChoices };
};

inline std::vector<Contestant> contestants()
{
    return {
        { .name = "adaptive" },
        { .name = "no control", .admission = AdmissionStrategy::NoControl, .edge = EdgeShedding::Off },
        { .name = "static limit", .admission = AdmissionStrategy::StaticLimit, .edge = EdgeShedding::Off },
        { .name = "queue delay only", .admission = AdmissionStrategy::QueueDelay, .edge = EdgeShedding::Off },
        { .name = "no edge shedding", .admission = AdmissionStrategy::AdaptiveLocal, .edge = EdgeShedding::Off },
        { .name = "no retry budget", .retry = RetryStrategy::NoBudget },
        { .name = "pure random", .placement = PlacementStrategy::PureRandom },
    };
}

/// What one run showed. Shares are of 1.
struct OverloadResult {
    /// Whole requests served during the trigger, of what capacity and load allowed.
    double goodput { 0 };
    /// From the trigger's end until a quarter of a second with 95% of what capacity and load allow.
    double recovery { 0 }; // seconds
    /// Requests of the most important class served during the trigger, of those sent.
    double critical { 0 };
    /// The account within its rate that got least of its max-min fair share.
    double worstServed { 0 };
    /// Requests refused or failed of accounts within their rate, of those sent.
    double inRateRefused { 0 };
    /// Work for requests that failed, of all work.
    double wasted { 0 };
    /// Attempts at the last tier for each caller's request, its own repeats not counted.
    double amplification { 0 };
};

/// Runs one case with one contestant.
class OverloadRun {
public:
    OverloadRun(const OverloadCase& overload, const Contestant& contestant, uint64_t seed)
        : m_case(overload)
        , m_random(makeSeededRandom(seed))
        , m_fleet(m_events, settingsOf(overload, contestant, seed))
        , m_capacity(capacityOf(chainOf(overload.deployment, overload.depth).back()))
        , m_served(size_t((overload.warmUp + overload.trigger + overload.rest) / bucket) + 1)
    {
        m_accounts = { { "large-1", 0.30, overload.excessOfFirstAccount }, { "large-2", 0.25 }, { "large-3", 0.15 },
            { "small-1", 0.10 }, { "small-2", 0.08 }, { "small-3", 0.06 }, { "small-4", 0.04 }, { "small-5", 0.02 } };
    }

    OverloadResult run()
    {
        const auto start = m_events.now();
        m_start = start;
        m_triggerStart = start + m_case.warmUp;
        m_triggerEnd = m_triggerStart + m_case.trigger;
        m_end = m_triggerEnd + m_case.rest;
        for (size_t i = 0; i < m_accounts.size(); ++i)
            scheduleNext(i);
        m_events.at(m_triggerStart, [this] { trigger(true); });
        m_events.at(m_triggerEnd, [this] { trigger(false); });
        m_events.runUntil(m_end);
        return result();
    }

private:
    static constexpr Duration bucket = milliseconds(50);
    static constexpr size_t recoveryBuckets = 5;
    // The first second of the trigger is left out of goodput during it.
    static constexpr Duration settling = seconds(1);

    struct Tally {
        uint64_t sent { 0 };
        uint64_t served { 0 };
        void add(const Tally& other)
        {
            sent += other.sent;
            served += other.served;
        }
        double share() const { return sent ? double(served) / double(sent) : 1; }
    };

    static double capacityOf(const Tier& last)
    {
        return double(last.servers) * last.slots / std::chrono::duration<double>(last.work).count();
    }

    static FleetSettings settingsOf(const OverloadCase& overload, const Contestant& contestant, uint64_t seed)
    {
        FleetSettings settings;
        settings.tiers = chainOf(overload.deployment, overload.depth);
        const bool isAltai = overload.deployment == Deployment::Altai;
        settings.zones = isAltai ? 3 : 4;
        settings.zoneDelay = isAltai ? microseconds(1500) : microseconds(500);
        settings.policy = isAltai ? OverloadPolicy::GoodputFirst : OverloadPolicy::FairnessFirst;
        settings.admission = contestant.admission;
        settings.edge = contestant.edge;
        settings.retry = contestant.retry;
        settings.placement = contestant.placement;
        settings.seed = seed;
        return settings;
    }

    bool isDuring(Instant when) const { return when >= m_triggerStart && when < m_triggerEnd; }

    double loadAt(Instant when) const
    {
        return when < m_triggerStart ? m_case.before : when < m_triggerEnd ? m_case.during : m_case.after;
    }

    double rateOf(const AccountLoad& account, Instant when) const
    {
        return account.share * m_capacity * loadAt(when) * (isDuring(when) ? account.excess : 1);
    }

    void scheduleNext(size_t index)
    {
        const auto now = m_events.now();
        const double gap = -std::log(1 - m_random->unit()) / rateOf(m_accounts[index], now);
        m_events.after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)), [this, index] {
            if (isWithinRate(m_accounts[index]))
                sendFirst(index);
            scheduleNext(index);
        });
    }

    // The account that sends too much is let through at its rate, by a bucket that its own requests fill.
    bool isWithinRate(const AccountLoad& account)
    {
        if (!m_case.ratesEnforced || account.excess <= 1 || !isDuring(m_events.now()))
            return true;
        m_tokens += 1 / account.excess;
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    Importance drawImportance()
    {
        constexpr std::array<double, importanceCount> cumulated { 0.1, 0.3, 0.8, 1.0 };
        const double drawn = m_random->unit();
        size_t i = 0;
        while (drawn >= cumulated[i])
            ++i;
        return static_cast<Importance>(i);
    }

    // A request that its caller repeats counts as sent once, and as served when one of its repeats is.
    void sendFirst(size_t index)
    {
        const auto importance = drawImportance();
        const bool isCounted = isDuring(m_events.now()) && m_events.now() >= m_triggerStart + settling;
        if (isCounted)
            ++m_tallies[index][size_t(importance)].sent;
        send(index, importance, m_case.hardRetries, isCounted);
    }

    void send(size_t index, Importance importance, uint32_t repeats, bool isCounted)
    {
        ++m_sent;
        m_fleet.call(m_accounts[index].name, importance, m_case.patience,
            [this, index, importance, repeats, isCounted](const TreeEnd& end) {
                if (!end.served) {
                    m_wasted += end.work;
                    if (repeats > 0)
                        m_events.after(hardRetryDelay, [=, this] { send(index, importance, repeats - 1, isCounted); });
                    return;
                }
                const auto at = size_t((m_events.now() - m_start) / bucket);
                if (at < m_served.size())
                    ++m_served[at];
                if (isCounted) {
                    ++m_tallies[index][size_t(importance)].served;
                }
            });
    }

    void trigger(bool begins)
    {
        const auto last = uint32_t(chainOf(m_case.deployment, m_case.depth).size() - 1);
        m_fleet.slow(last, begins ? m_case.slowness : 1);
        m_fleet.failsAtEnd = begins && m_case.failing;
        if (m_case.lyingServer)
            m_fleet.lie(last, 0, begins);
        if (m_case.silentZone)
            m_fleet.silence(1, begins);
        if (m_case.coldStart && begins)
            m_fleet.restart(last, 1, 4, coldTime);
    }

    // Capacity left while the trigger lasts.
    double capacityDuring() const
    {
        const auto servers = double(chainOf(m_case.deployment, m_case.depth).back().servers);
        double share = 1 / m_case.slowness;
        if (m_case.lyingServer || m_case.silentZone)
            share *= (servers - 1) / servers;
        if (m_case.coldStart)
            share *= (servers - 0.75) / servers;
        return m_capacity * share;
    }

    double offeredDuring() const
    {
        double offered = 0;
        for (const auto& account : m_accounts)
            offered += account.share * m_capacity * m_case.during * (m_case.ratesEnforced ? 1 : account.excess);
        return offered;
    }

    // What each account is owed of what it sent: classes go first by importance, and a class that does not fit is
    // divided max-min among accounts.
    std::vector<double> fairShares(double budget) const
    {
        std::vector<double> owed(m_accounts.size());
        for (size_t importance = 0; importance < importanceCount; ++importance) {
            double sent = 0;
            for (const auto& tallies : m_tallies)
                sent += double(tallies[importance].sent);
            const double level = waterLevel(importance, std::max(0.0, budget));
            for (size_t i = 0; i < owed.size(); ++i)
                owed[i] += std::min(level, double(m_tallies[i][importance].sent));
            budget -= sent;
        }
        return owed;
    }

    double waterLevel(size_t importance, double budget) const
    {
        std::vector<double> sent;
        for (const auto& tallies : m_tallies)
            sent.push_back(double(tallies[importance].sent));
        std::sort(sent.begin(), sent.end());
        for (size_t i = 0; i < sent.size(); ++i) {
            const double even = budget / double(sent.size() - i);
            if (sent[i] > even)
                return even;
            budget -= sent[i];
        }
        return sent.back();
    }

    double servedBetween(Instant from, Instant to) const
    {
        double sum = 0;
        for (auto i = size_t((from - m_start) / bucket); i < size_t((to - m_start) / bucket); ++i)
            sum += m_served[i];
        return sum;
    }

    double recovery() const
    {
        const double expected = std::min(m_capacity, m_capacity * m_case.after)
            * std::chrono::duration<double>(bucket).count() * double(recoveryBuckets);
        for (auto at = m_triggerEnd; at + bucket * recoveryBuckets <= m_end; at += bucket) {
            if (servedBetween(at, at + bucket * recoveryBuckets) >= 0.95 * expected)
                return std::chrono::duration<double>(at - m_triggerEnd).count();
        }
        return std::chrono::duration<double>(m_case.rest).count();
    }

    OverloadResult result() const
    {
        OverloadResult result;
        const double length = std::chrono::duration<double>(m_case.trigger - settling).count();
        const double limit = std::min(capacityDuring(), offeredDuring()) * length;
        result.goodput = servedBetween(m_triggerStart + settling, m_triggerEnd) / limit;
        result.recovery = recovery();
        const auto owed = fairShares(limit);
        Tally critical;
        Tally inRate;
        result.worstServed = 1;
        for (size_t i = 0; i < m_accounts.size(); ++i) {
            critical.add(m_tallies[i][0]);
            if (m_accounts[i].excess > 1 && !m_case.ratesEnforced)
                continue;
            Tally all;
            for (const auto& tally : m_tallies[i])
                all.add(tally);
            inRate.add(all);
            result.worstServed = std::min(result.worstServed, double(all.served) / std::max(1.0, owed[i]));
        }
        result.critical = critical.share();
        result.inRateRefused = 1 - inRate.share();
        result.wasted = double(m_wasted.count()) / double(std::max<Duration::rep>(1, m_fleet.workDone().count()));
        result.amplification = double(m_fleet.attempts(m_case.depth - 1)) / double(m_sent);
        return result;
    }

    static constexpr Duration hardRetryDelay = milliseconds(20);
    static constexpr Duration coldTime = seconds(5);

    OverloadCase m_case;
    EventQueue m_events;
    std::unique_ptr<RandomSource> m_random;
    FakeFleet m_fleet;
    double m_capacity;
    std::vector<AccountLoad> m_accounts;
    std::vector<uint32_t> m_served;
    std::array<std::array<Tally, importanceCount>, 8> m_tallies {};
    double m_tokens { 0 };
    Duration m_wasted { 0 };
    uint64_t m_sent { 0 };
    Instant m_start;
    Instant m_triggerStart;
    Instant m_triggerEnd;
    Instant m_end;
};

inline OverloadResult runOverload(const OverloadCase& overload, const Contestant& contestant, uint64_t seed = 1)
{
    return OverloadRun(overload, contestant, seed).run();
}

} // namespace Vanillaridge

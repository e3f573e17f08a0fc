#include "entry/CallTracer.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    // Minimum age of the snapshot of running attempts before it is refreshed, and the shorter one for a call whose
    // parent may have started since. Scanning on every call is too expensive: a node may forward thousands of calls per
    // second while hundreds of attempts run.
    constexpr Duration refreshPeriod = milliseconds(10);
    constexpr Duration refreshPeriodOnMiss = milliseconds(1);
    // Remaining time is exchanged with backend servers in whole milliseconds, in both directions.
    constexpr Duration deadlineRounding = milliseconds(2);
    // Transit time of a request and its call between node and backend server, without lag.
    constexpr Duration callTransitTime = milliseconds(1);
    // Window on each side of the matching interval in which deadlines are counted to estimate chance matches.
    constexpr Duration chanceWindow = milliseconds(50);
    // Minimum estimated share of true matches among a route's matches for a match to be accepted.
    constexpr double minimumPrecision = 0.8;
    // Minimum match rate of a route for a call without a match to refresh the snapshot early.
    constexpr double minimumRateForRefresh = 0.5;
    // Evidence is halved whenever it reaches this many calls.
    constexpr double evidenceHalvingCalls = 512;

    CallParent parentFrom(const AttemptRecord& record)
    {
        const auto& context = record.context;
        return { record.deadline, context.rank, context.represents, context.depth, context.treeHash, context.route };
    }

} // namespace

CallTracer::CallTracer(Board& board, const Clock& clock, RandomSource& random)
    : m_board(board)
    , m_clock(clock)
    , m_random(random)
{
}

std::optional<TracedCall> CallTracer::trace(const ArrivingCall& call)
{
    const auto named = findNamedParent(call);
    std::lock_guard guard(m_lock);
    auto found = m_evidence.find(call.route);
    if (found == m_evidence.end())
        found = m_evidence.emplace(call.route, Evidence {}).first;
    auto& evidence = found->second;

    // 1. The parent that the call's id names.
    if (named) {
        learn(evidence, *named);
        return TracedCall { *named, true, true };
    }

    // 2. Match by deadline.
    refreshRunning(refreshPeriod);
    std::optional<Instant> callDeadline;
    if (call.remaining && !m_running.empty()) {
        callDeadline = m_clock.now() + *call.remaining;
        auto matches = findMatches(*callDeadline, call.readDelay);
        if (matches.parents.empty() && evidence.matchRate() >= minimumRateForRefresh) {
            refreshRunning(refreshPeriodOnMiss);
            matches = findMatches(*callDeadline, call.readDelay);
        }
        learn(evidence, matches);
        if (isReliable(evidence, matches))
            return TracedCall { *matches.parents.front(), true, true };
    }

    // 3. Otherwise sample a parent by the evidence for the called route.
    if (m_running.empty())
        return std::nullopt;
    return sampleParent(evidence, callDeadline);
}

// The running request whose id the call's id extends, the longest one first, unless the call outlives it.
std::optional<CallParent> CallTracer::findNamedParent(const ArrivingCall& call) const
{
    if (!call.remaining)
        return std::nullopt;
    const auto earliest = m_clock.now() + *call.remaining - call.readDelay - callTransitTime - deadlineRounding;
    std::optional<CallParent> parent;
    for (auto end = call.label.rfind('.'); end != std::string_view::npos && end > 0 && !parent;
         end = call.label.rfind('.', end - 1)) {
        std::optional<AttemptId> attempt;
        m_board.attemptsByLabel().visit(
            std::string(call.label.substr(0, end)), [&](const AttemptId& id) { attempt = id; });
        if (!attempt)
            continue;
        m_board.attempts().visit(*attempt, [&](const AttemptRecord& record) {
            if (record.state == AttemptState::Started && record.deadline >= earliest)
                parent = parentFrom(record);
        });
    }
    return parent;
}

void CallTracer::refreshRunning(Duration period)
{
    const auto now = m_clock.now();
    if (!m_running.empty() && now - m_refreshedAt < period)
        return;
    m_refreshedAt = now;
    m_running.clear();
    m_board.attempts().forEach([&](const AttemptId&, const AttemptRecord& record) {
        if (record.state == AttemptState::Started)
            m_running.push_back(parentFrom(record));
    });
    std::ranges::sort(m_running, {}, &CallParent::deadline);
    m_runningByRoute.clear();
    for (const auto& parent : m_running)
        m_runningByRoute[parent.route].push_back(&parent);
}

// Transit time and read delay make a call's deadline appear later than its parent's.
CallTracer::Matches CallTracer::findMatches(Instant callDeadline, Duration readDelay) const
{
    const auto earliest = callDeadline - readDelay - callTransitTime;
    const auto latest = callDeadline + deadlineRounding;
    const auto between = [&](Instant from, Instant to) {
        const auto first = std::ranges::lower_bound(m_running, from, {}, &CallParent::deadline);
        return std::span(first, std::ranges::upper_bound(first, m_running.end(), to, {}, &CallParent::deadline));
    };

    Matches matches;
    for (const auto& parent : between(earliest, latest))
        matches.parents.push_back(&parent);
    const auto distance = [&](const CallParent* parent) { return std::chrono::abs(parent->deadline - callDeadline); };
    std::ranges::sort(matches.parents, {}, distance);

    const double windowShare = inSeconds(latest - earliest) / inSeconds(latest - earliest + 2 * chanceWindow);
    for (const auto& other : between(earliest - chanceWindow, latest + chanceWindow)) {
        if (other.deadline >= earliest && other.deadline <= latest)
            continue;
        matches.expectedByRoute[other.route] += windowShare / (1 - windowShare);
        matches.expectedByChance += windowShare / (1 - windowShare);
    }
    return matches;
}

// Credits each match to the parent's route, minus the matches expected by chance.
void CallTracer::learn(Evidence& evidence, const Matches& matches)
{
    for (const auto* parent : matches.parents)
        evidence.excess[parent->route] += 1;
    for (const auto& [route, expected] : matches.expectedByRoute)
        evidence.excess[RouteName(route)] -= expected;
    evidence.count();
}

// A call that names its parent says nothing about how reliable matches by deadline are.
void CallTracer::learn(Evidence& evidence, const CallParent& named)
{
    evidence.named[named.route] += 1;
    evidence.namedCalls += 1;
    if (evidence.namedCalls < evidenceHalvingCalls)
        return;
    evidence.namedCalls /= 2;
    for (auto& [route, count] : evidence.named)
        count /= 2;
}

void CallTracer::Evidence::count()
{
    calls += 1;
    if (calls < evidenceHalvingCalls)
        return;
    calls /= 2;
    for (auto& [route, count] : excess)
        count /= 2;
}

// Estimated share of calls that match their parent, with a prior of one half: (excess matches + 1) / (calls + 2).
double CallTracer::Evidence::matchRate() const
{
    double matched = 1;
    for (const auto& [route, count] : excess)
        matched += std::max(0.0, count);
    return std::min(1.0, matched / (calls + 2));
}

bool CallTracer::isReliable(const Evidence& evidence, const Matches& matches)
{
    const double matchRate = evidence.matchRate();
    return !matches.parents.empty() && matchRate >= minimumPrecision * (matchRate + matches.expectedByChance);
}

// Samples a running request that lasts at least as long as the call, its route weighted by the evidence for making such
// calls. Without evidence, samples uniformly from all running requests.
TracedCall CallTracer::sampleParent(const Evidence& evidence, std::optional<Instant> callDeadline)
{
    double total = 0;
    for (const auto& [route, parents] : m_runningByRoute)
        total += callsFrom(evidence, route);
    double point = m_random.unit() * total;
    for (const auto& [route, parents] : m_runningByRoute) {
        point -= callsFrom(evidence, route);
        if (total > 0 && point < 0)
            return { sampleOutliving(parents, callDeadline), false, true };
    }
    return { m_running[m_random.below(m_running.size())], false, false };
}

const CallParent& CallTracer::sampleOutliving(
    std::span<const CallParent* const> parents, std::optional<Instant> callDeadline)
{
    const auto earliest = callDeadline.value_or(Instant()) - deadlineRounding;
    const auto first = std::ranges::lower_bound(parents, earliest, {}, &CallParent::deadline);
    const auto outliving = first == parents.end() ? parents : std::span(first, parents.end());
    return *outliving[m_random.below(outliving.size())];
}

// Estimated number of calls made by requests of the route, from named parents and from matches in excess of chance.
double CallTracer::callsFrom(const Evidence& evidence, const RouteName& route)
{
    const auto countIn = [&](const std::map<RouteName, double>& counts) {
        const auto found = counts.find(route);
        return found == counts.end() ? 0 : std::max(0.0, found->second);
    };
    return countIn(evidence.excess) + countIn(evidence.named);
}

} // namespace Vanillaridge

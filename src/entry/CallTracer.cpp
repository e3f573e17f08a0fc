#include "entry/CallTracer.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    // Minimum age of the snapshot of running attempts before it is refreshed, and the shorter one for a call whose
    // parent may have started since. Scanning on every call is too expensive: a node may forward thousands of calls per
    // second while hundreds of attempts run.
    constexpr Duration readPeriod = milliseconds(10);
    constexpr Duration readPeriodForMissing = milliseconds(1);
    // Remaining time is exchanged with backend servers in whole milliseconds, in both directions.
    constexpr Duration deadlineRounding = milliseconds(2);
    // Transit time of a request and its call between node and backend server, without lag.
    constexpr Duration deadlineTravel = milliseconds(1);
    // Window on each side of the matching interval in which deadlines are counted to estimate chance matches.
    constexpr Duration neighbourhood = milliseconds(50);
    // Minimum estimated share of true matches among a route's matches for a match to be accepted.
    constexpr double believedShare = 0.8;
    // Minimum match rate of a route for a call without a match to refresh the snapshot early.
    constexpr double shareWorthReading = 0.5;
    // Evidence is halved whenever it reaches this many calls.
    constexpr double callsRemembered = 512;

} // namespace

CallTracer::CallTracer(Board& board, const Clock& clock, RandomSource& random)
    : m_board(board)
    , m_clock(clock)
    , m_random(random)
{
}

std::optional<TracedCall> CallTracer::trace(std::string_view called, std::optional<Duration> remaining, Duration unread)
{
    std::lock_guard guard(m_lock);
    auto found = m_evidence.find(called);
    if (found == m_evidence.end())
        found = m_evidence.emplace(called, Evidence {}).first;
    auto& evidence = found->second;
    readRunning(readPeriod);

    // 1. Match by deadline.
    std::optional<Instant> callDeadline;
    if (remaining && !m_running.empty()) {
        callDeadline = m_clock.now() + *remaining;
        auto matches = matchesOf(*callDeadline, unread);
        if (matches.parents.empty() && evidence.share() >= shareWorthReading) {
            readRunning(readPeriodForMissing);
            matches = matchesOf(*callDeadline, unread);
        }
        learn(evidence, matches);
        if (isBelieved(evidence, matches))
            return TracedCall { *matches.parents.front(), true, true };
    }

    // 2. Otherwise sample a parent by the evidence for the called route.
    if (m_running.empty())
        return std::nullopt;
    return likelyParent(evidence, callDeadline);
}

void CallTracer::readRunning(Duration period)
{
    const auto now = m_clock.now();
    if (!m_running.empty() && now - m_readAt < period)
        return;
    m_readAt = now;
    m_running.clear();
    m_board.attempts().forEach([&](const AttemptId&, const AttemptRecord& record) {
        const auto& context = record.context;
        if (record.state == AttemptState::Started)
            m_running.push_back(
                { record.deadline, context.rank, context.represents, context.depth, context.treeHash, context.route });
    });
    std::ranges::sort(m_running, {}, &CallParent::deadline);
    m_byRoute.clear();
    for (const auto& parent : m_running)
        m_byRoute[parent.route].push_back(&parent);
}

// Transit time and read delay make a call's deadline appear later than its parent's.
CallTracer::Matches CallTracer::matchesOf(Instant callDeadline, Duration unread) const
{
    const auto earliest = callDeadline - unread - deadlineTravel;
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

    const double part = inSeconds(latest - earliest) / inSeconds(latest - earliest + 2 * neighbourhood);
    for (const auto& other : between(earliest - neighbourhood, latest + neighbourhood)) {
        if (other.deadline >= earliest && other.deadline <= latest)
            continue;
        matches.chanceByRoute[other.route] += part / (1 - part);
        matches.byChance += part / (1 - part);
    }
    return matches;
}

// Credits each match to the parent's route, minus the matches expected by chance.
void CallTracer::learn(Evidence& evidence, const Matches& matches)
{
    evidence.calls += 1;
    for (const auto* parent : matches.parents)
        evidence.excess[parent->route] += 1;
    for (const auto& [route, chance] : matches.chanceByRoute)
        evidence.excess[RouteName(route)] -= chance;
    if (evidence.calls < callsRemembered)
        return;
    evidence.calls /= 2;
    for (auto& [route, count] : evidence.excess)
        count /= 2;
}

// Estimated share of calls that match their parent, with a prior of one half: (excess matches + 1) / (calls + 2).
double CallTracer::Evidence::share() const
{
    double matched = 1;
    for (const auto& [route, count] : excess)
        matched += std::max(0.0, count);
    return std::min(1.0, matched / (calls + 2));
}

bool CallTracer::isBelieved(const Evidence& evidence, const Matches& matches)
{
    const double share = evidence.share();
    return !matches.parents.empty() && share >= believedShare * (share + matches.byChance);
}

// Samples a running request that lasts at least as long as the call, its route weighted by the evidence for making such
// calls. Without evidence, samples uniformly from all running requests.
TracedCall CallTracer::likelyParent(const Evidence& evidence, std::optional<Instant> callDeadline)
{
    double total = 0;
    for (const auto& [route, parents] : m_byRoute)
        total += callsOf(evidence, route);
    double drawn = m_random.unit() * total;
    for (const auto& [route, parents] : m_byRoute) {
        drawn -= callsOf(evidence, route);
        if (total > 0 && drawn < 0)
            return { drawLasting(parents, callDeadline), false, true };
    }
    return { m_running[m_random.below(m_running.size())], false, false };
}

const CallParent& CallTracer::drawLasting(
    std::span<const CallParent* const> parents, std::optional<Instant> callDeadline)
{
    const auto earliest = callDeadline.value_or(Instant()) - deadlineRounding;
    const auto first = std::ranges::lower_bound(parents, earliest, {}, &CallParent::deadline);
    const auto lasting = first == parents.end() ? parents : std::span(first, parents.end());
    return *lasting[m_random.below(lasting.size())];
}

// Estimated number of calls made by requests of the route, from matches in excess of chance.
double CallTracer::callsOf(const Evidence& evidence, const RouteName& route)
{
    const auto found = evidence.excess.find(route);
    return found == evidence.excess.end() ? 0 : std::max(0.0, found->second);
}

} // namespace Vanillaridge

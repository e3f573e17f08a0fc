/// Infers which request running at a local backend server made a call that carries no parent id. Private to the
/// entry library.
#pragma once

#include "board/Board.h"

namespace Vanillaridge {

/// The attributes that a call inherits from the request that made it.
struct CallParent {
    Instant deadline;
    Rank rank;
    double represents { 1 };
    uint32_t depth { 1 };
    uint64_t treeHash { 0 };
    RouteName route;
};

/// The parent of a call, or a sampled request that stands in for an unidentified parent.
struct TracedCall {
    CallParent parent;
    /// Whether the parent was identified by its deadline rather than sampled.
    bool parentKnown { false };
    /// Whether there is evidence that requests of the parent's route make calls of this route.
    bool routeKnown { false };
};

/// A call as it arrives.
struct ArrivingCall {
    /// The route being called.
    std::string_view route;
    /// The id that the call carries; empty if none.
    std::string_view label;
    /// Time to the deadline that the call carries.
    std::optional<Duration> remaining;
    /// Longest time that the call may have waited in the socket before it was read.
    Duration readDelay { 0 };
};

/// A call's deadline is never later than its parent's.
///
/// Ids may be hierarchical: a call's id extends the id of the request that makes it by a dot and a suffix. If the id of
/// a call extends that of a running request that ends no earlier than the call, that request is its parent. A caller
/// can make up such an id, but only for a request whose id it knows.
///
/// Otherwise the deadline decides. Where the parent's deadline is what bounds the call, the two match and identify the
/// parent. Under load many deadlines lie close together, so a match is accepted only if calls of the route match
/// clearly more often than expected by chance. The same statistics weight the parent routes of calls that match no
/// request. Thread-safe.
class CallTracer {
public:
    CallTracer(Board&, const Clock&, RandomSource&);

    /// \return std::nullopt if no request is known to run at a local backend server
    std::optional<TracedCall> trace(const ArrivingCall&);

private:
    /// Match statistics of one called route, with decay.
    struct Evidence {
        double calls { 0 };
        /// Per parent route: matches minus those expected by chance, given the density of nearby deadlines.
        std::map<RouteName, double> excess;
        /// Calls whose id names their parent, in total and per parent route.
        double namedCalls { 0 };
        std::map<RouteName, double> named;
        double matchRate() const;
        void count();
    };
    /// The running requests whose deadline matches the call's, nearest first, and the number of matches expected by
    /// chance, per route and in total.
    struct Matches {
        std::vector<const CallParent*> parents;
        std::map<std::string_view, double> expectedByRoute;
        double expectedByChance { 0 };
    };

    std::optional<CallParent> findNamedParent(const ArrivingCall&) const;
    void refreshRunning(Duration period);
    Matches findMatches(Instant callDeadline, Duration readDelay) const;
    static void learn(Evidence&, const Matches&);
    static void learn(Evidence&, const CallParent& named);
    static bool isReliable(const Evidence&, const Matches&);
    TracedCall sampleParent(const Evidence&, std::optional<Instant> callDeadline);
    const CallParent& sampleOutliving(std::span<const CallParent* const>, std::optional<Instant> callDeadline);
    static double callsFrom(const Evidence&, const RouteName&);

    Board& m_board;
    const Clock& m_clock;
    RandomSource& m_random;
    std::mutex m_lock;
    Instant m_refreshedAt;
    /// Sorted by deadline.
    std::vector<CallParent> m_running;
    std::map<RouteName, std::vector<const CallParent*>> m_runningByRoute;
    std::unordered_map<RouteName, Evidence, NameHash, std::equal_to<>> m_evidence;
};

} // namespace Vanillaridge

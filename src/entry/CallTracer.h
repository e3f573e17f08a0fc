/// Which of the requests that run beside a node has made a call that names no parent. Private to the entry library.
#pragma once

#include "board/Board.h"

namespace Vanillaridge {

/// What a call takes over from the request that made it.
struct CallParent {
    Instant deadline;
    Rank rank;
    double represents { 1 };
    uint32_t depth { 1 };
    uint64_t treeHash { 0 };
    RouteName route;
};

/// The request that a call belongs to, or one that it is likely to be like.
struct TracedCall {
    CallParent parent;
    bool known { false };
    /// Whether calls of its route are known to come from requests of the parent's.
    bool routeKnown { false };
};

/// A backend server's call lasts no longer than the request that made it, and where that is what bounds it, its
/// deadline names its parent. Deadlines lie close together while much runs, so a match is believed only as far as calls
/// of the route match more often than chance would have it. What is learnt so also tells which routes make calls that
/// match nobody. Any thread may call it.
class CallTracer {
public:
    CallTracer(Board&, const Clock&, RandomSource&);

    /// \param called route of the call
    /// \param remaining time that the call came with
    /// \param unread for how long it may have lain unread
    /// \return nothing when no request runs beside this node
    std::optional<TracedCall> trace(std::string_view called, std::optional<Duration> remaining, Duration unread);

private:
    /// Calls of one route, counted with decay.
    struct Evidence {
        double calls { 0 };
        /// By the route of those running: matches, less those that the deadlines around explain.
        std::map<RouteName, double> excess;
        double share() const;
    };
    /// The running requests whose deadline may be the call's, nearest first; how many others may be expected among
    /// them, by their routes and in all.
    struct Matches {
        std::vector<const CallParent*> parents;
        std::map<std::string_view, double> chanceByRoute;
        double byChance { 0 };
    };

    void readRunning(Duration period);
    Matches matchesOf(Instant callDeadline, Duration unread) const;
    static void learn(Evidence&, const Matches&);
    static bool isBelieved(const Evidence&, const Matches&);
    TracedCall likelyParent(const Evidence&, std::optional<Instant> callDeadline);
    const CallParent& drawLasting(std::span<const CallParent* const>, std::optional<Instant> callDeadline);
    static double callsOf(const Evidence&, const RouteName&);

    Board& m_board;
    const Clock& m_clock;
    RandomSource& m_random;
    std::mutex m_lock;
    Instant m_readAt;
    /// In the order of their deadlines.
    std::vector<CallParent> m_running;
    std::map<RouteName, std::vector<const CallParent*>> m_byRoute;
    std::unordered_map<RouteName, Evidence, NameHash, std::equal_to<>> m_evidence;
};

} // namespace Vanillaridge

/// Backend servers that announce themselves to the node beside them.
///
/// Each announcement has a term and lapses unless it is renewed. The facts stand in board.localServers(), from where
/// membership spreads them and the guard takes them. Lives that have ended stand in board.departures(), which Directory
/// keeps in the store, so that a late announcement brings no server back after a restart.
#pragma once

#include "board/Board.h"

namespace Vanillaridge {

/// Something that a backend server tells the node beside it.
struct ServerNews {
    enum class Kind : uint8_t {
        /// It is there, or still there, and says all about itself.
        Announce,
        /// It is still there.
        Renew,
        /// It is leaving.
        Drain,
        /// It has left.
        Withdraw,
    };
    Kind kind { Kind::Announce };
    /// May be empty in a withdrawal that names the instance.
    ServiceName service;
    /// Its own name for itself; empty where only the service is named.
    std::string instance {};
    Endpoint endpoint {};
    uint32_t slots { 0 };
    /// How long the news holds without more.
    Duration term { 0 };
    /// Orders the lives of a backend server, and the news of one life; 0 where it has no such number.
    uint64_t life { 0 };
    uint64_t sequence { 0 };
    /// How much longer it is slow after its start; absent where the service's declaration says so.
    std::optional<Duration> coldLeft {};
};

enum class NewsOutcome : uint8_t {
    /// Nothing like it was known before: the backend server came, left, or is another one.
    Changed,
    /// It says what was known.
    Renewed,
    /// It is older than what is known, or about a life that has ended; nothing changed.
    Outdated,
    /// It is about a backend server that has not announced itself.
    Unknown,
};

/// May be called from several threads. References must outlive it.
class LocalServers {
public:
    LocalServers(Board&, const Clock&);
    ~LocalServers();

    /// Takes up a backend server, or renews it: then only slots, endpoint and term change. A server that drains goes on
    /// draining until it withdraws.
    void announce(std::string_view service, const Endpoint&, uint32_t slots, Duration term);
    /// Extends the term; false when there is no such announcement, and the backend server has to announce itself.
    bool renew(std::string_view service);
    /// Marks the backend server as leaving: it gets no new work. False when there is no such announcement.
    bool drain(std::string_view service);
    bool withdraw(std::string_view service);
    /// Takes whatever a backend server tells. News that were overtaken by later ones change nothing.
    NewsOutcome take(const ServerNews&);
    /// Whether the news say that a backend server leaves in a way that outlives this process: with its name. Where they
    /// do not say which life ends, it is the one that was told, or else any that is not in its first news for some
    /// seconds.
    static bool isDeparture(const ServerNews&);
    /// Drops announcements of lives that board.departures() says have ended, as it does once an earlier process's
    /// departures are known; returns their services.
    std::vector<ServiceName> dropDeparted();
    /// Drops announcements whose term has run out; returns their services.
    std::vector<ServiceName> expire();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Vanillaridge

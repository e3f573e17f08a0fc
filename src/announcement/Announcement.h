/// Backend servers that announce themselves to the node beside them.
///
/// Each announcement has a term and lapses unless it is renewed. The facts stand in board.localServers(), from where
/// membership spreads them and the guard takes them.
#pragma once

#include "board/Board.h"

namespace Vanillaridge {

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
    /// Drops announcements whose term has run out; returns their services.
    std::vector<ServiceName> expire();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Vanillaridge

#include "announcement/Announcement.h"

#include <unordered_map>

namespace Vanillaridge {

struct LocalServers::State {
    State(Board& board, const Clock& clock)
        : board(board)
        , clock(clock)
    {
    }

    // A generation that was never used here, so that a withdrawal is never taken for older than an announcement.
    uint64_t nextGeneration(const ServiceName& service)
    {
        std::lock_guard guard(lock);
        return ++generations[service];
    }

    Board& board;
    const Clock& clock;
    std::mutex lock;
    std::unordered_map<ServiceName, uint64_t> generations;
};

LocalServers::LocalServers(Board& board, const Clock& clock)
    : m_state(std::make_unique<State>(board, clock))
{
}

LocalServers::~LocalServers() = default;

// Renewing goes through here too, so that a backend server needs one call only.
void LocalServers::announce(std::string_view service, const Endpoint& endpoint, uint32_t slots, Duration term)
{
    const ServiceName name(service);
    const auto now = m_state->clock.now();
    const auto renews = m_state->board.localServers().visit(name, [&](LocalServerRecord& record) {
        record.announcement.slots = slots;
        record.endpoint = endpoint;
        record.renewedAt = now;
        record.term = term;
    });
    if (renews)
        return;
    LocalServerRecord record { { name, m_state->nextGeneration(name), slots, false }, endpoint, now, term };
    m_state->board.localServers().update(name, [&](LocalServerRecord& place) { place = std::move(record); });
}

bool LocalServers::renew(std::string_view service)
{
    const auto now = m_state->clock.now();
    return m_state->board.localServers().visit(
        ServiceName(service), [&](LocalServerRecord& record) { record.renewedAt = now; });
}

bool LocalServers::drain(std::string_view service)
{
    return m_state->board.localServers().visit(
        ServiceName(service), [](LocalServerRecord& record) { record.announcement.draining = true; });
}

bool LocalServers::withdraw(std::string_view service)
{
    return m_state->board.localServers().erase(ServiceName(service));
}

std::vector<ServiceName> LocalServers::expire()
{
    const auto now = m_state->clock.now();
    std::vector<ServiceName> expired;
    m_state->board.localServers().eraseIf([&](const ServiceName& service, const LocalServerRecord& record) {
        const auto lapsed = now - record.renewedAt > record.term;
        if (lapsed)
            expired.push_back(service);
        return lapsed;
    });
    return expired;
}

} // namespace Vanillaridge

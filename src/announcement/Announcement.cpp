#include "announcement/Announcement.h"

#include <unordered_map>

namespace Vanillaridge {

namespace {

    // How late news of a backend server may come.
    constexpr Duration newsLateness = seconds(10);
    // Of the first news in each life.
    constexpr uint64_t firstSequence = 1;

} // namespace

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

    // The newest that a service's backend server has told of itself.
    struct Told {
        std::string instance;
        uint64_t life { 0 };
        uint64_t sequence { 0 };
        bool left { false };
    };

    // Whether the news are newer than all that was told, which they then are.
    bool isNewer(const ServerNews& news)
    {
        std::lock_guard guard(lock);
        auto& known = told[news.service];
        const bool sameLife = news.instance == known.instance && news.life == known.life;
        if (news.life < known.life || (sameLife && (known.left || news.sequence <= known.sequence)))
            return !news.life && !news.sequence;
        known = { news.instance, news.life, news.sequence, false };
        return true;
    }

    // Whether the instance has left in the life that the news are from, or in a later one.
    bool hasLeft(const ServerNews& news) const
    {
        bool left = false;
        board.departures().visit(
            stableHash(news.instance), [&](const DepartureRecord& departure) { left = news.life <= departure.life; });
        return news.life && left;
    }

    // Whether the news may be from before a departure that did not say which life it ended. The first news of a life
    // are not: whoever left had said more.
    bool mayBeLate(const ServerNews& news) const
    {
        bool isLate = false;
        board.departures().visit(stableHash(news.instance), [&](const DepartureRecord& departure) {
            isLate = !departure.life && clock.now() - departure.notedAt < newsLateness;
        });
        return news.life && isLate && news.sequence != firstSequence;
    }

    // Keeps an instance from being taken up again by what it said before it left.
    void noteDeparture(const ServerNews& news)
    {
        if (news.instance.empty())
            return;
        const auto life = news.life ? news.life : toldLife(news.instance);
        board.departures().update(stableHash(news.instance), [&](DepartureRecord& departure) {
            departure.witnessed = departure.witnessed && life <= departure.life;
            departure.life = std::max(departure.life, life);
            departure.notedAt = clock.now();
        });
    }

    // The latest life that the instance has told of; 0 for none.
    uint64_t toldLife(std::string_view instance)
    {
        std::lock_guard guard(lock);
        uint64_t life = 0;
        for (const auto& [service, known] : told) {
            if (known.instance == instance)
                life = std::max(life, known.life);
        }
        return life;
    }

    // The service of an instance that says it has left, unless another one has come in its place.
    std::optional<ServiceName> noteLeaving(const ServerNews& news)
    {
        std::lock_guard guard(lock);
        for (auto& [service, known] : told) {
            const bool isMeant = news.instance.empty() ? service == news.service : known.instance == news.instance;
            if (!isMeant || (news.life && news.life < known.life))
                continue;
            known.left = true;
            return service;
        }
        return news.instance.empty() ? std::optional(news.service) : std::nullopt;
    }

    Board& board;
    const Clock& clock;
    std::mutex lock;
    std::unordered_map<ServiceName, uint64_t> generations;
    std::unordered_map<ServiceName, Told> told;
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
    LocalServerRecord record { { name, m_state->nextGeneration(name), slots, false }, endpoint, now, term, {}, 0, {} };
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

namespace {

    // Whether the record is of another backend server, or of another life of it, than the news.
    bool isAnother(const LocalServerRecord& record, const ServerNews& news)
    {
        return record.instance != news.instance || record.life != news.life;
    }

} // namespace

NewsOutcome LocalServers::take(const ServerNews& news)
{
    const auto outcome = [](bool known) { return known ? NewsOutcome::Changed : NewsOutcome::Unknown; };
    if (news.kind == ServerNews::Kind::Withdraw) {
        // Also of an instance that this process does not know: what it said before may still come.
        m_state->noteDeparture(news);
        const auto service = m_state->noteLeaving(news);
        return service ? outcome(withdraw(*service)) : NewsOutcome::Outdated;
    }
    if (news.kind == ServerNews::Kind::Renew)
        return renew(news.service) ? NewsOutcome::Renewed : NewsOutcome::Unknown;
    if (!m_state->isNewer(news))
        return NewsOutcome::Outdated;
    if (news.kind == ServerNews::Kind::Drain)
        m_state->noteDeparture(news);

    // 1. What another one left behind here is gone.
    auto& servers = m_state->board.localServers();
    bool another = false;
    bool known = servers.visit(news.service, [&](LocalServerRecord& record) { another = isAnother(record, news); });
    if (another)
        known = !withdraw(news.service);
    if (news.kind == ServerNews::Kind::Drain)
        return outcome(drain(news.service));

    // 2. What this one says, unless it said before that it leaves.
    if (!known && (m_state->hasLeft(news) || m_state->mayBeLate(news)))
        return NewsOutcome::Outdated;
    announce(news.service, news.endpoint, news.slots, news.term);
    servers.visit(news.service, [&](LocalServerRecord& record) {
        record.instance = news.instance;
        record.life = news.life;
        if (!known)
            record.coldLeft = news.coldLeft;
    });
    return known ? NewsOutcome::Renewed : NewsOutcome::Changed;
}

bool LocalServers::isDeparture(const ServerNews& news)
{
    const bool leaves = news.kind == ServerNews::Kind::Drain || news.kind == ServerNews::Kind::Withdraw;
    return leaves && !news.instance.empty();
}

std::vector<ServiceName> LocalServers::dropDeparted()
{
    std::vector<ServiceName> dropped;
    m_state->board.localServers().eraseIf([&](const ServiceName& service, const LocalServerRecord& record) {
        const ServerNews news { .service = service, .instance = record.instance, .life = record.life };
        const bool isDeparted = !record.announcement.draining && m_state->hasLeft(news);
        if (isDeparted)
            dropped.push_back(service);
        return isDeparted;
    });
    return dropped;
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

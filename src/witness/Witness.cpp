#include "witness/Witness.h"

#include <algorithm>
#include <mutex>

namespace Vanillaridge {

struct Witness::State {
    State(Board& board, const Clock& clock, RandomSource& random, WitnessSettings settings)
        : board(board)
        , clock(clock)
        , random(random)
        , settings(settings)
    {
    }

    // --- Own departures

    // Departures of the backend servers beside this node that no other member keeps yet.
    std::vector<Departure> unwitnessed()
    {
        const auto now = clock.now();
        std::vector<Departure> departures;
        board.departures().forEach([&](uint64_t server, const DepartureRecord& departure) {
            if (!departure.witnessed && now - departure.notedAt < settings.offerTerm)
                departures.push_back({ server, departure.life });
        });
        departures.resize(std::min(departures.size(), settings.departuresKept));
        return departures;
    }

    // A few members drawn at random, not all of one availability zone where there are several.
    std::vector<Endpoint> drawWitnesses()
    {
        struct Candidate {
            Endpoint endpoint;
            ZoneName zone;
        };
        const auto self = board.self().id();
        std::vector<Candidate> members;
        board.members().forEach([&](NodeId id, const MemberRecord& record) {
            if (id != self && record.said.state == MemberState::Alive)
                members.push_back({ record.said.endpoint, record.said.zone });
        });
        std::vector<Endpoint> drawn;
        while (drawn.size() < settings.witnesses && !members.empty()) {
            const auto chosen = members[random.below(members.size())];
            drawn.push_back(chosen.endpoint);
            const bool hasOtherZone
                = std::ranges::any_of(members, [&](const Candidate& member) { return member.zone != chosen.zone; });
            std::erase_if(members, [&](const Candidate& member) {
                return member.endpoint == chosen.endpoint || (hasOtherZone && member.zone == chosen.zone);
            });
        }
        return drawn;
    }

    void offer()
    {
        const auto departures = unwitnessed();
        if (departures.empty())
            return;
        const auto now = clock.now();
        {
            std::lock_guard guard(lock);
            if (now < nextOffer)
                return;
            nextOffer = now + settings.offerPause;
        }
        for (const auto& endpoint : drawWitnesses())
            board.outbox().post(endpoint, DepartureNews { DepartureNewsKind::Keep, board.self().boot, departures });
    }

    // --- Departures of others

    static uint64_t keyOf(const Endpoint& node, BootId boot) { return mixHash(NodeId::of(node).value, boot.value); }

    void keep(const Endpoint& from, const DepartureNews& news)
    {
        keepFor(from, news.boot, news.departures);
        board.outbox().post(from, DepartureNews { DepartureNewsKind::Kept, news.boot, news.departures });
    }

    void keepFor(const Endpoint& node, BootId boot, std::span<const Departure> departures)
    {
        board.witnessed().update(keyOf(node, boot), [&](WitnessRecord& record) {
            record.node = node;
            record.boot = boot;
            record.notedAt = clock.now();
            for (const auto& departure : departures) {
                std::erase_if(
                    record.departures, [&](const Departure& kept) { return kept.server == departure.server; });
                record.departures.push_back(departure);
            }
            const auto excess = record.departures.size() - std::min(record.departures.size(), settings.departuresKept);
            record.departures.erase(
                record.departures.begin(), record.departures.begin() + static_cast<std::ptrdiff_t>(excess));
        });
    }

    // The sender keeps own departures, or has those of its earlier process back.
    void noteKept(const Endpoint& from, const DepartureNews& news)
    {
        if (news.boot != board.self().boot) {
            passOn(from, news);
            return;
        }
        for (const auto& kept : news.departures) {
            board.departures().visit(kept.server, [&](DepartureRecord& departure) {
                departure.witnessed = departure.witnessed || kept.life >= departure.life;
            });
        }
    }

    // Departures that the node's present process has back are kept for it, since it may end before the store has them.
    void passOn(const Endpoint& from, const DepartureNews& news)
    {
        auto present = news.boot;
        board.members().visit(NodeId::of(from), [&](const MemberRecord& member) { present = member.said.boot; });
        if (present != news.boot && board.witnessed().erase(keyOf(from, news.boot)))
            keepFor(from, present, news.departures);
    }

    void recall(const Endpoint& from, const DepartureNews& news)
    {
        if (news.boot == board.self().boot)
            return;
        for (const auto& told : news.departures) {
            board.departures().update(told.server, [&](DepartureRecord& departure) {
                departure.witnessed = departure.witnessed || told.life >= departure.life;
                departure.life = std::max(departure.life, told.life);
                departure.notedAt = clock.now();
            });
        }
        board.outbox().post(from, DepartureNews { DepartureNewsKind::Kept, news.boot, news.departures });
        if (listener)
            listener(from);
    }

    // Whether another process than the one that left the departures here runs at the node's endpoint.
    bool hasNextProcess(const WitnessRecord& record)
    {
        bool isOther = false;
        board.members().visit(NodeId::of(record.node), [&](const MemberRecord& member) {
            isOther = member.said.state == MemberState::Alive && member.said.boot != record.boot;
        });
        return isOther;
    }

    void remind()
    {
        const auto now = clock.now();
        std::vector<WitnessRecord> kept;
        board.witnessed().eraseIf(
            [&](uint64_t, const WitnessRecord& record) { return now - record.notedAt > settings.keepTerm; });
        board.witnessed().forEach([&](uint64_t, const WitnessRecord& record) {
            if (now >= record.nextReminder)
                kept.push_back(record);
        });
        for (auto& record : kept) {
            if (!hasNextProcess(record))
                continue;
            board.witnessed().visit(keyOf(record.node, record.boot),
                [&](WitnessRecord& place) { place.nextReminder = now + settings.reminderPause; });
            board.outbox().post(
                record.node, DepartureNews { DepartureNewsKind::Recall, record.boot, std::move(record.departures) });
        }
    }

    Board& board;
    const Clock& clock;
    RandomSource& random;
    const WitnessSettings settings;
    Listener listener;
    std::mutex lock;
    Instant nextOffer;
};

Witness::Witness(Board& board, const Clock& clock, RandomSource& random, WitnessSettings settings)
    : m_state(std::make_unique<State>(board, clock, random, settings))
{
}

Witness::~Witness() = default;

void Witness::onRecalled(Listener listener) { m_state->listener = std::move(listener); }

void Witness::tick()
{
    m_state->offer();
    m_state->remind();
}

void Witness::receive(const Endpoint& from, const DepartureNews& news)
{
    using Handler = void (State::*)(const Endpoint&, const DepartureNews&);
    constexpr std::array<Handler, 3> handlers { &State::keep, &State::noteKept, &State::recall };
    (m_state.get()->*handlers[static_cast<size_t>(news.kind)])(from, news);
}

} // namespace Vanillaridge

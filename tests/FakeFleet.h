// Members in one process, with datagrams between them that the test loses, delays or cuts.
#pragma once

#include "membership/Membership.h"

#include <map>
#include <set>
#include <unordered_map>

namespace Vanillaridge {

// One member: its board and its membership, and whether the machine lets it run.
struct FakeMember {
    FakeMember(Identity identity, const Clock& clock, RandomSource& random, MembershipSettings settings)
        : board(std::move(identity))
        , membership(board, clock, random, settings)
    {
    }

    Board board;
    Membership membership;
    bool runs = true;
    bool frozen = false;
    // Messages that arrived while it was frozen.
    std::vector<std::pair<Endpoint, ControlMessage>> buffered;
};

class FakeFleet {
public:
    // Decides whether a message between two members gets through.
    using Cut = std::function<bool(const Endpoint& from, const Endpoint& to)>;
    // Takes messages that are not for the membership.
    using OtherHandler = std::function<void(const Endpoint& from, FakeMember& to, const ControlMessage&)>;

    explicit FakeFleet(uint64_t seed, MembershipSettings settings = {})
        : m_random(makeSeededRandom(seed))
        , m_settings(settings)
    {
    }

    static Endpoint endpointOf(size_t index)
    {
        return "10." + std::to_string(index / 65536) + "." + std::to_string(index / 256 % 256) + "."
            + std::to_string(index % 256) + ":7000";
    }

    // Starts a member, in place of the one that was at its endpoint.
    FakeMember& start(size_t index, size_t zones = 4, uint64_t incarnation = 1)
    {
        const auto endpoint = endpointOf(index);
        Identity identity { endpoint, "zone-" + std::to_string(index % zones), { m_random->next() }, { incarnation } };
        auto member = std::make_unique<FakeMember>(std::move(identity), clock, *m_random, m_settings);
        member->membership.contacts(contacts);
        auto& place = m_members[endpoint];
        place = std::move(member);
        if (onStart)
            onStart(*place);
        return *place;
    }

    void startAll(size_t count, size_t zones = 4)
    {
        for (size_t i = 0; i < count; ++i)
            start(i, zones);
    }

    FakeMember& at(size_t index) { return *m_members.at(endpointOf(index)); }
    void kill(size_t index) { at(index).runs = false; }
    // What a reboot or a scheduler that stops the process does: messages wait in the socket's buffer.
    void freeze(size_t index) { at(index).frozen = true; }
    void thaw(size_t index)
    {
        auto& member = at(index);
        member.frozen = false;
        for (auto& [from, message] : std::exchange(member.buffered, {}))
            hand(from, member, message);
    }

    void run(Duration span)
    {
        for (const auto end = clock.now() + span; clock.now() < end;)
            step();
    }

    // Runs until the test holds; returns how long that took, or nothing after the limit.
    template <typename Test> std::optional<Duration> runUntil(Duration limit, Test test)
    {
        const auto begun = clock.now();
        while (!test()) {
            if (clock.now() - begun >= limit)
                return std::nullopt;
            step();
        }
        return clock.now() - begun;
    }

    template <typename Use> void forEach(Use use)
    {
        for (auto& [endpoint, member] : m_members)
            if (member->runs)
                use(*member);
    }

    // Whether each running member knows just the running ones as alive, at what they say of themselves.
    bool agrees()
    {
        std::unordered_map<NodeId, MemberUpdate> truth;
        forEach([&](FakeMember& member) {
            const auto id = member.board.self().id();
            member.board.members().visit(id, [&](const MemberRecord& record) { truth.emplace(id, record.said); });
        });
        bool all = true;
        forEach([&](FakeMember& member) { all = all && (member.frozen || knows(member, truth)); });
        return all;
    }

    static bool knows(FakeMember& member, const std::unordered_map<NodeId, MemberUpdate>& truth)
    {
        size_t alive = 0;
        bool right = true;
        member.board.members().forEach([&](NodeId id, const MemberRecord& record) {
            if (record.said.state == MemberState::Left || record.said.state == MemberState::Dead)
                return;
            const auto found = truth.find(id);
            ++alive;
            right = right && found != truth.end() && found->second.version == record.said.version
                && found->second.boot == record.said.boot && record.said.state == MemberState::Alive;
        });
        return right && alive == truth.size();
    }

    // Members that hold the one at the index in the given state; those without a record of it hold it for gone.
    size_t countHolding(size_t index, MemberState state)
    {
        const auto id = NodeId::of(endpointOf(index));
        size_t count = 0;
        forEach([&](FakeMember& member) {
            auto held = MemberState::Left;
            member.board.members().visit(id, [&](const MemberRecord& record) { held = record.said.state; });
            if (held == state)
                ++count;
        });
        return count;
    }

    ManualClock clock;
    std::vector<Endpoint> contacts { endpointOf(0), endpointOf(1), endpointOf(2) };
    Cut cut;
    OtherHandler other;
    std::function<void(FakeMember&)> onStart;
    std::function<void(FakeMember&)> onTick;
    // Share of datagrams that are lost.
    double loss = 0;
    // What was sent so far.
    uint64_t messages = 0;
    uint64_t bytes = 0;
    size_t largest = 0;

    static constexpr Duration tickPeriod = milliseconds(100);

    void step()
    {
        clock.advance(tickPeriod);
        forEach([&](FakeMember& member) {
            if (member.frozen)
                return;
            member.membership.tick();
            if (onTick)
                onTick(member);
        });
        // Answers to answers come within the same step, but not without end.
        for (int round = 0; round < 6; ++round)
            if (!deliver())
                return;
    }

private:
    bool deliver()
    {
        std::vector<std::pair<Endpoint, OutgoingMessage>> sent;
        forEach([&](FakeMember& member) {
            for (auto& message : member.board.outbox().drain())
                if (!member.frozen)
                    sent.emplace_back(member.board.self().endpoint, std::move(message));
        });
        for (auto& [from, message] : sent)
            carry(from, message);
        return !sent.empty();
    }

    void carry(const Endpoint& from, OutgoingMessage& outgoing)
    {
        const auto size = estimatedSize(outgoing.message);
        ++messages;
        bytes += size;
        if (isDatagram(outgoing.message))
            largest = std::max(largest, size);
        const auto found = m_members.find(outgoing.to);
        if (found == m_members.end() || !found->second->runs || (cut && cut(from, outgoing.to)))
            return;
        if (loss > 0 && isDatagram(outgoing.message) && m_random->unit() < loss)
            return;
        auto& member = *found->second;
        if (member.frozen)
            member.buffered.emplace_back(from, std::move(outgoing.message));
        else
            hand(from, member, outgoing.message);
    }

    void hand(const Endpoint& from, FakeMember& member, const ControlMessage& message)
    {
        std::visit(
            [&](const auto& content) {
                if constexpr (requires { member.membership.receive(from, content); })
                    member.membership.receive(from, content);
                else if (other)
                    other(from, member, message);
            },
            message);
    }

    std::unique_ptr<RandomSource> m_random;
    MembershipSettings m_settings;
    std::map<Endpoint, std::unique_ptr<FakeMember>> m_members;
};

} // namespace Vanillaridge

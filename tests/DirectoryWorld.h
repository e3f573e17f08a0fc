// A fleet whose members know no contacts but those in the store's entries, with their directories and, where the test
// asks for them, the members' keeping of each other's departures.
#pragma once

#include "FakeFleet.h"
#include "FakeStore.h"
#include "dissemination/Dissemination.h"
#include "witness/Witness.h"

#include <boost/test/unit_test.hpp>

namespace Vanillaridge {

constexpr uint64_t seed = 20260401;
constexpr Duration minute = std::chrono::minutes(1);

struct DirectoryWorld {
    explicit DirectoryWorld(bool hasWitnesses = false)
        : fleet(seed)
        , random(makeSeededRandom(seed + 1))
    {
        fleet.contacts.clear();
        fleet.onStart = [this, hasWitnesses](FakeMember& member) {
            auto directory
                = std::make_unique<Directory>(member.board, fleet.clock, *random, objects, DirectorySettings());
            directory->onContacts(
                [&member](std::span<const Endpoint> contacts) { member.membership.contacts(contacts); });
            auto& place = directories[member.board.self().endpoint];
            place = std::move(directory);
            if (hasWitnesses)
                startWitness(member, *place);
        };
        fleet.onTick = [this](FakeMember& member) {
            const auto& endpoint = member.board.self().endpoint;
            directories.at(endpoint)->tick();
            if (const auto witness = witnesses.find(endpoint); witness != witnesses.end())
                witness->second->tick();
        };
        fleet.other = [this](const Endpoint& from, FakeMember& to, const ControlMessage& message) {
            const auto witness = witnesses.find(to.board.self().endpoint);
            if (const auto* news = std::get_if<DepartureNews>(&message); news && witness != witnesses.end())
                witness->second->receive(from, *news);
        };
    }

    void startWitness(FakeMember& member, Directory& directory)
    {
        auto witness = std::make_unique<Witness>(member.board, fleet.clock, *random, WitnessSettings());
        witness->onRecalled([&member, &directory](const Endpoint& from) {
            member.membership.contacts(std::span(&from, 1));
            directory.rememberDepartures([](bool) {});
        });
        witnesses[member.board.self().endpoint] = std::move(witness);
    }

    template <typename Test> bool within(Duration limit, Test test)
    {
        for (const auto end = fleet.clock.now() + limit; fleet.clock.now() < end; objects.deliver()) {
            if (test())
                return true;
            fleet.step();
        }
        return test();
    }

    bool entryOf(size_t index)
    {
        auto name = "nodes/" + FakeFleet::endpointOf(index);
        name[name.rfind(':')] = '-';
        return objects.stored(name).has_value();
    }

    Directory& directoryOf(size_t index) { return *directories.at(FakeFleet::endpointOf(index)); }

    void noteDeparture(size_t index, std::string_view server, uint64_t life)
    {
        fleet.at(index).board.departures().update(stableHash(server), [&](DepartureRecord& departure) {
            departure = { life, fleet.clock.now() };
        });
    }

    // Notes a departure and waits for the directory's answer about it.
    bool remember(size_t index, std::string_view server, uint64_t life)
    {
        noteDeparture(index, server, life);
        std::optional<bool> stored;
        directoryOf(index).rememberDepartures([&](bool answer) { stored = answer; });
        BOOST_TEST(within(seconds(1), [&] { return stored.has_value(); }));
        return stored.value_or(false);
    }

    uint64_t departedLife(size_t index, std::string_view server)
    {
        uint64_t life = 0;
        fleet.at(index).board.departures().visit(
            stableHash(server), [&](const DepartureRecord& departure) { life = departure.life; });
        return life;
    }

    FakeStore objects;
    FakeFleet fleet;
    std::unique_ptr<RandomSource> random;
    std::map<Endpoint, std::unique_ptr<Directory>> directories;
    std::map<Endpoint, std::unique_ptr<Witness>> witnesses;
};

} // namespace Vanillaridge

/// Random messages of every kind.
#pragma once

#include "wire/Wire.h"

#include <rapidcheck.h>

namespace Vanillaridge {

/// Draws any value of a type that messages are made of.
template <typename Value> Value draw();

namespace Drawing {

    // Field types, from plain numbers up; each message then lists its fields in order.
    template <typename Value> struct Drawn {
        static Value draw() { return *rc::gen::arbitrary<Value>(); }
    };
    template <> struct Drawn<double> {
        static double draw() { return static_cast<double>(*rc::gen::inRange<int64_t>(-1'000'000, 1'000'000)) / 64; }
    };
    template <> struct Drawn<Duration> {
        static Duration draw() { return Duration(*rc::gen::inRange<int64_t>(-(int64_t(1) << 60), int64_t(1) << 60)); }
    };
    template <typename Element> struct Drawn<std::vector<Element>> {
        static std::vector<Element> draw()
        {
            std::vector<Element> elements(*rc::gen::inRange<size_t>(0, 4));
            for (auto& element : elements)
                element = Vanillaridge::draw<Element>();
            return elements;
        }
    };
    template <size_t size> struct Drawn<std::array<uint8_t, size>> {
        static std::array<uint8_t, size> draw()
        {
            std::array<uint8_t, size> bytes;
            for (auto& byte : bytes)
                byte = *rc::gen::arbitrary<uint8_t>();
            return bytes;
        }
    };
    template <> struct Drawn<Importance> {
        static Importance draw() { return static_cast<Importance>(*rc::gen::inRange<size_t>(0, importanceCount)); }
    };
    template <> struct Drawn<Rank> {
        static Rank draw() { return { Drawn<Importance>::draw(), Drawn<Importance>::draw() }; }
    };
    template <> struct Drawn<Reason> {
        static Reason draw() { return static_cast<Reason>(*rc::gen::inRange<size_t>(0, reasonCount)); }
    };
    template <> struct Drawn<VerdictKind> {
        static VerdictKind draw() { return static_cast<VerdictKind>(*rc::gen::inRange(0, 3)); }
    };
    template <> struct Drawn<DepartureNewsKind> {
        static DepartureNewsKind draw() { return static_cast<DepartureNewsKind>(*rc::gen::inRange(0, 3)); }
    };
    template <> struct Drawn<MemberState> {
        static MemberState draw() { return static_cast<MemberState>(*rc::gen::inRange(0, 4)); }
    };

    /// Converts to whatever the field is that it initializes.
    struct AnyField {
        template <typename Value> operator Value() const { return Vanillaridge::draw<Value>(); }
    };

    template <size_t> using AnyFieldAt = AnyField;
    template <typename Message, size_t... fields> Message drawFields(std::index_sequence<fields...>)
    {
        return Message { AnyFieldAt<fields>()... };
    }

    // How many fields a message has: as many as it can be initialized from, so that a new field is drawn as well.
    template <typename Message, size_t count = 0> constexpr size_t fieldCount()
    {
        constexpr auto fits = []<size_t... fields>(std::index_sequence<fields...>)
        {
            return requires { Message { AnyFieldAt<fields>()... }; };
        };
        if constexpr (fits(std::make_index_sequence<count + 1>()))
            return fieldCount<Message, count + 1>();
        else
            return count;
    }

    template <typename Message>
    requires std::is_aggregate_v<Message>
    struct Drawn<Message> {
        static Message draw() { return drawFields<Message>(std::make_index_sequence<fieldCount<Message>()>()); }
    };

    template <typename... Kinds> struct Drawn<std::variant<Kinds...>> {
        static std::variant<Kinds...> draw()
        {
            using Draw = std::variant<Kinds...> (*)();
            static constexpr std::array<Draw, sizeof...(Kinds)> draws { [] {
                return std::variant<Kinds...>(Vanillaridge::draw<Kinds>());
            }... };
            return draws[*rc::gen::inRange<size_t>(0, draws.size())]();
        }
    };

} // namespace Drawing

template <typename Value> Value draw() { return Drawing::Drawn<Value>::draw(); }

} // namespace Vanillaridge

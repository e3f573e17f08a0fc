/// cereal archives over plain bytes. The input archive reads from a span and trusts nothing in it.
#pragma once

#include "wire/Wire.h"

#include <bit>
#include <cereal/cereal.hpp>
#include <cmath>
#include <cstring>

namespace Vanillaridge {

/// Thrown inside the library only, through cereal, and turned into a leaf error at its edge.
struct DecodingFailure {
    WireError error;
};

/// An enumeration on its way to or from the wire, with the first value that is out of range.
template <typename Enumeration> struct RangedEnumeration {
    Enumeration& value;
    uint8_t end;
};

/// Appends numbers in little endian and lengths as 32 bits.
class ByteOutput : public cereal::OutputArchive<ByteOutput, cereal::AllowEmptyClassElision> {
public:
    explicit ByteOutput(std::string& out)
        : OutputArchive(this)
        , m_out(out)
    {
    }

    void append(const void* bytes, size_t size) { m_out.append(static_cast<const char*>(bytes), size); }

private:
    std::string& m_out;
};

/// Reads what ByteOutput wrote, and checks every length against what is left before anything is allocated for it.
class ByteInput : public cereal::InputArchive<ByteInput, cereal::AllowEmptyClassElision> {
public:
    explicit ByteInput(Bytes input)
        : InputArchive(this)
        , m_rest(input)
    {
    }

    // Gives the next bytes, in place.
    Bytes take(size_t size)
    {
        if (size > m_rest.size())
            throw DecodingFailure { WireError::Truncated };
        const auto taken = m_rest.first(size);
        m_rest = m_rest.subspan(size);
        return taken;
    }

    size_t remaining() const { return m_rest.size(); }

private:
    Bytes m_rest;
};

// The wire is little endian, and so must be the machine, or each number would have to be turned around.
static_assert(std::endian::native == std::endian::little);

template <typename Number>
requires std::is_arithmetic_v<Number>
void save(ByteOutput& archive, const Number& number) { archive.append(&number, sizeof number); }

template <typename Number>
requires std::is_arithmetic_v<Number>
void load(ByteInput& archive, Number& number)
{
    const auto bytes = archive.take(sizeof number);
    if constexpr (std::is_same_v<Number, bool>) {
        if (bytes[0] > std::byte(1))
            throw DecodingFailure { WireError::BadValue };
        number = bytes[0] == std::byte(1);
    } else {
        std::memcpy(&number, bytes.data(), sizeof number);
        if constexpr (std::is_floating_point_v<Number>) {
            if (!std::isfinite(number))
                throw DecodingFailure { WireError::BadValue };
        }
    }
}

// Durations beyond a century either way are refused, so that sums of a few of them cannot overflow.
constexpr Duration longestDuration = std::chrono::hours(24 * 365 * 100);

inline void save(ByteOutput& archive, const Duration& duration) { archive(int64_t(duration.count())); }

inline void load(ByteInput& archive, Duration& duration)
{
    int64_t count = 0;
    archive(count);
    if (count > longestDuration.count() || count < -longestDuration.count())
        throw DecodingFailure { WireError::BadValue };
    duration = Duration(count);
}

inline void save(ByteOutput& archive, const std::string& text)
{
    archive(static_cast<uint32_t>(text.size()));
    archive.append(text.data(), text.size());
}

inline void load(ByteInput& archive, std::string& text)
{
    uint32_t size = 0;
    archive(size);
    const auto bytes = archive.take(size);
    text.assign(reinterpret_cast<const char*>(bytes.data()), bytes.size());
}

template <size_t size> void save(ByteOutput& archive, const std::array<uint8_t, size>& bytes)
{
    archive.append(bytes.data(), size);
}

template <size_t size> void load(ByteInput& archive, std::array<uint8_t, size>& bytes)
{
    std::memcpy(bytes.data(), archive.take(size).data(), size);
}

template <typename Element> void save(ByteOutput& archive, const std::vector<Element>& elements)
{
    archive(static_cast<uint32_t>(elements.size()));
    for (const auto& element : elements)
        archive(element);
}

template <typename Value> void save(ByteOutput& archive, const std::optional<Value>& value)
{
    archive(value.has_value());
    if (value)
        archive(*value);
}

template <typename Value> void load(ByteInput& archive, std::optional<Value>& value)
{
    bool present = false;
    archive(present);
    value.reset();
    if (present)
        archive(value.emplace());
}

// Elements are added one by one as they are read: a false count costs no memory, since every element takes bytes.
template <typename Element> void load(ByteInput& archive, std::vector<Element>& elements)
{
    uint32_t count = 0;
    archive(count);
    if (count > archive.remaining())
        throw DecodingFailure { WireError::Truncated };
    elements.clear();
    for (uint32_t i = 0; i < count; ++i)
        archive(elements.emplace_back());
}

template <typename Enumeration> void save(ByteOutput& archive, const RangedEnumeration<Enumeration>& ranged)
{
    archive(static_cast<uint8_t>(ranged.value));
}

template <typename Enumeration> void load(ByteInput& archive, RangedEnumeration<Enumeration>& ranged)
{
    uint8_t value = 0;
    archive(value);
    if (value >= ranged.end)
        throw DecodingFailure { WireError::BadValue };
    ranged.value = static_cast<Enumeration>(value);
}

template <typename... Kinds> void save(ByteOutput& archive, const std::variant<Kinds...>& message)
{
    archive(static_cast<uint8_t>(message.index()));
    std::visit([&](const auto& content) { archive(content); }, message);
}

// Chooses the reader of the message's kind from a table.
template <typename... Kinds> void load(ByteInput& archive, std::variant<Kinds...>& message)
{
    using Reader = void (*)(ByteInput&, std::variant<Kinds...>&);
    static constexpr std::array<Reader, sizeof...(Kinds)> readers {
        [](ByteInput& input, std::variant<Kinds...>& result) { input(result.template emplace<Kinds>()); }...
    };
    uint8_t kind = 0;
    archive(kind);
    if (kind >= readers.size())
        throw DecodingFailure { WireError::BadKind };
    readers[kind](archive, message);
}

} // namespace Vanillaridge

#include "documents/Documents.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <numeric>

namespace Vanillaridge {

namespace {

    struct UnitRow {
        std::string_view name;
        uint64_t factor;
    };

    // Nanoseconds in each unit of time, largest first.
    constexpr std::array<UnitRow, 6> timeUnits { { { "h", 3'600'000'000'000 }, { "m", 60'000'000'000 },
        { "s", 1'000'000'000 }, { "ms", 1'000'000 }, { "us", 1'000 }, { "ns", 1 } } };
    // Bytes in each unit of size, largest first.
    constexpr std::array<UnitRow, 4> sizeUnits { { { "GiB", 1ull << 30 }, { "MiB", 1 << 20 }, { "KiB", 1 << 10 },
        { "B", 1 } } };
    // Largest value that a double holds exactly, and that fits the integer types.
    constexpr double largestExact = 9'007'199'254'740'992.0;

    // A number with a unit, as a whole number of the smallest unit.
    std::optional<uint64_t> valueWithUnit(std::string_view text, std::span<const UnitRow> units)
    {
        // 1. The number, whole or with a decimal part.
        double number = 0;
        const auto [stop, error]
            = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
        if (error != std::errc() || number < 0)
            return std::nullopt;

        // 2. The unit.
        const std::string_view unit(stop, text.data() + text.size() - stop);
        const auto found = std::find_if(units.begin(), units.end(), [&](const auto& row) { return row.name == unit; });
        if (found == units.end())
            return std::nullopt;

        // 3. Both together.
        const double value = std::round(number * static_cast<double>(found->factor));
        if (!(value <= largestExact))
            return std::nullopt;
        return static_cast<uint64_t>(value);
    }

    std::string withLargestUnit(uint64_t value, std::span<const UnitRow> units)
    {
        for (const auto& unit : units) {
            if (value && value % unit.factor == 0)
                return fmt::format("{}{}", value / unit.factor, unit.name);
        }
        return fmt::format("{}{}", value, units.back().name);
    }

    // Least number of single-character edits that turn one text into the other.
    size_t editDistance(std::string_view from, std::string_view to)
    {
        std::vector<size_t> row(to.size() + 1);
        std::iota(row.begin(), row.end(), size_t(0));
        for (size_t i = 0; i < from.size(); ++i) {
            size_t diagonal = row[0];
            row[0] = i + 1;
            for (size_t j = 0; j < to.size(); ++j) {
                const size_t replaced = diagonal + (from[i] != to[j]);
                diagonal = row[j + 1];
                row[j + 1] = std::min({ replaced, row[j] + 1, row[j + 1] + 1 });
            }
        }
        return row.back();
    }

} // namespace

std::string toText(const Problem& problem)
{
    auto text = fmt::format("{}:{}:{}: {}", problem.file, problem.line, problem.column, problem.what);
    if (!problem.writeInstead.empty())
        text += fmt::format("; write: {}", problem.writeInstead);
    return text;
}

boost::leaf::result<std::string> readFile(const std::string& path, size_t limit)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return boost::leaf::new_error(FileError { path, "cannot be opened" });
    std::string text(limit + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<size_t>(file.gcount()));
    if (file.bad() || (text.empty() && !file.eof()))
        return boost::leaf::new_error(FileError { path, "cannot be read" });
    if (text.size() > limit)
        return boost::leaf::new_error(FileError { path, "is larger than " + sizeToText(limit) });
    return text;
}

std::optional<Duration> durationFromText(std::string_view text)
{
    const auto value = valueWithUnit(text, timeUnits);
    if (!value)
        return std::nullopt;
    return Duration(static_cast<Duration::rep>(*value));
}

std::string toText(Duration duration)
{
    return withLargestUnit(static_cast<uint64_t>(std::max<Duration::rep>(duration.count(), 0)), timeUnits);
}

std::optional<uint64_t> sizeFromText(std::string_view text) { return valueWithUnit(text, sizeUnits); }

std::string sizeToText(uint64_t bytes) { return withLargestUnit(bytes, sizeUnits); }

std::optional<std::string> nearestName(std::string_view name, std::span<const std::string> known)
{
    constexpr size_t longestCompared = 64;
    if (name.size() > longestCompared)
        return std::nullopt;
    const size_t farthest = std::max<size_t>(2, name.size() / 3);
    std::optional<std::string> nearest;
    size_t nearestDistance = farthest + 1;
    for (const auto& candidate : known) {
        const size_t distance = editDistance(name, candidate);
        if (distance < nearestDistance) {
            nearest = candidate;
            nearestDistance = distance;
        }
    }
    return nearest;
}

std::string inQuotes(std::string_view text)
{
    std::string result = "\"";
    for (const char character : text) {
        if (character == '"' || character == '\\')
            result.append({ '\\', character });
        else if (static_cast<unsigned char>(character) < ' ' || character == 0x7f)
            result += fmt::format("\\u{:04x}", static_cast<unsigned>(character));
        else
            result += character;
    }
    return result + '"';
}

std::string tomlValue(bool value) { return value ? "true" : "false"; }

std::string tomlValue(double value) { return fmt::format("{}", value); }

std::string tomlValue(uint32_t value) { return fmt::format("{}", value); }

std::string tomlValue(uint64_t bytes) { return inQuotes(sizeToText(bytes)); }

std::string tomlValue(Duration value) { return inQuotes(toText(value)); }

std::string tomlValue(const std::string& value) { return inQuotes(value); }

std::string tomlValue(const std::vector<std::string>& values)
{
    std::string text = "[";
    for (const auto& value : values)
        text.append(text.size() > 1 ? ", " : "").append(inQuotes(value));
    return text + "]";
}

} // namespace Vanillaridge

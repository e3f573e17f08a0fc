#include "log/Log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>

namespace Vanillaridge {

namespace {

    constexpr std::array<std::string_view, 4> levelNames { "error", "warning", "info", "debug" };
    std::atomic<LogLevel> s_level { LogLevel::Info };

    bool needsQuotes(std::string_view text)
    {
        return text.empty() || text.find_first_of(" \"=\n\t") != std::string_view::npos;
    }

    void appendValue(fmt::memory_buffer& line, std::string_view text)
    {
        if (!needsQuotes(text)) {
            line.append(text);
            return;
        }
        line.push_back('"');
        for (const char letter : text) {
            if (letter == '"' || letter == '\\')
                line.push_back('\\');
            line.push_back(letter == '\n' ? ' ' : letter);
        }
        line.push_back('"');
    }

} // namespace

std::string_view toText(LogLevel level) { return levelNames[static_cast<size_t>(level)]; }

void setLogLevel(LogLevel level) { s_level.store(level, std::memory_order_relaxed); }

bool setLogLevel(std::string_view text)
{
    const auto found = std::find(levelNames.begin(), levelNames.end(), text);
    if (found == levelNames.end())
        return false;
    setLogLevel(static_cast<LogLevel>(found - levelNames.begin()));
    return true;
}

// The line is put together first and written in one call, so that lines of several threads do not mix.
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level > s_level.load(std::memory_order_relaxed))
        return;
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    fmt::memory_buffer line;
    fmt::format_to(std::back_inserter(line), "time={:%Y-%m-%dT%H:%M:%S}Z level={} event={}", now,
        levelNames[static_cast<size_t>(level)], event);
    for (const auto& field : fields) {
        line.push_back(' ');
        line.append(field.key);
        line.push_back('=');
        appendValue(line, field.value);
    }
    line.push_back('\n');
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace Vanillaridge

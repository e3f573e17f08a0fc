#include "log/LogWriter.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fmt/chrono.h>
#include <numeric>
#include <unistd.h>

namespace Vanillaridge {

namespace {

    constexpr std::array<std::string_view, 4> levelNames { "error", "warning", "info", "debug" };
    constexpr uint32_t burstSeconds = 4;

    std::atomic<LogLevel> s_level { LogLevel::Info };
    std::atomic<uint32_t> s_requestLines { LogLimits().requestLinesPerSecond };
    std::atomic<uint32_t> s_routineOneIn { LogLimits().routineOneIn };
    std::atomic<uint64_t> s_suppressed { 0 };

    LogWriter& writer()
    {
        static LogWriter s_instance(STDOUT_FILENO);
        return s_instance;
    }

    // Leave for lines about requests, as a token bucket.
    class RequestLines {
    public:
        bool take()
        {
            std::lock_guard guard(m_lock);
            const auto now = std::chrono::steady_clock::now();
            const double rate = s_requestLines.load(std::memory_order_relaxed);
            const double passed = std::chrono::duration<double>(now - m_refilledAt).count();
            m_tokens = std::min(burstSeconds * rate, m_tokens + rate * passed);
            m_refilledAt = now;
            if (m_tokens < 1)
                return false;
            m_tokens -= 1;
            return true;
        }

    private:
        std::mutex m_lock;
        std::chrono::steady_clock::time_point m_refilledAt { std::chrono::steady_clock::now() };
        double m_tokens { double(burstSeconds) * LogLimits().requestLinesPerSecond };
    };

    RequestLines s_lines;

    // FNV-1a: the same on every node.
    uint64_t hashOf(std::string_view text)
    {
        uint64_t hash = 0xcbf29ce484222325;
        for (const unsigned char character : text)
            hash = (hash ^ character) * 0x100000001b3;
        return hash;
    }

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

    void write(LogClass kind, LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
    {
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
        writer().put(kind, { line.data(), line.size() });
    }

} // namespace

std::string_view toText(LogLevel level) { return levelNames[static_cast<size_t>(level)]; }

void setLogLevel(LogLevel level) { s_level.store(level, std::memory_order_relaxed); }

void setLogLimits(const LogLimits& limits)
{
    s_requestLines.store(limits.requestLinesPerSecond, std::memory_order_relaxed);
    s_routineOneIn.store(limits.routineOneIn, std::memory_order_relaxed);
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level <= s_level.load(std::memory_order_relaxed))
        write(LogClass::Belief, level, event, fields);
}

bool wantsRequestLine(LogClass kind, std::string_view requestLabel)
{
    if (kind == LogClass::Routine) {
        const auto oneIn = s_routineOneIn.load(std::memory_order_relaxed);
        if (!oneIn || hashOf(requestLabel) % oneIn)
            return false;
    }
    if (s_lines.take())
        return true;
    s_suppressed.fetch_add(1, std::memory_order_relaxed);
    return false;
}

void logRequest(LogClass kind, std::string_view event, std::initializer_list<LogField> fields)
{
    write(kind, LogLevel::Info, event, fields);
}

uint64_t suppressedRequestLines() { return s_suppressed.load(std::memory_order_relaxed); }

uint64_t droppedLogLines()
{
    const auto dropped = writer().dropped();
    return std::accumulate(dropped.begin(), dropped.end(), uint64_t(0));
}

} // namespace Vanillaridge

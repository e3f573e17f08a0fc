/// Structured log lines on standard output, in key=value form: what was decided and why, for whoever has to explain a
/// failure afterwards. docs/OPERATIONS.md lists the events.
///
/// Logging never blocks: a thread of its own writes, and what does not fit into its bounded buffer is dropped, counted
/// and told. Lines about single requests are bounded in number as well.
#pragma once

#include <cstdint>
#include <fmt/format.h>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Vanillaridge {

enum class LogLevel : uint8_t { Error, Warning, Info, Debug };
std::string_view toText(LogLevel);

/// What a line is about, most worth keeping first.
enum class LogClass : uint8_t {
    /// What the process believes, and its own life.
    Belief,
    /// A request that was not served.
    Failure,
    /// A request that went well.
    Routine,
};
constexpr size_t logClassCount = 3;

/// One key=value pair. Values with spaces or quotes are quoted.
struct LogField {
    template <typename Value>
    LogField(std::string_view key, const Value& value)
        : key(key)
        , value(fmt::format("{}", value))
    {
    }

    std::string_view key;
    std::string value;
};

/// Bounds on lines about requests.
struct LogLimits {
    /// Lines per second at most; four times as many may come at once after a quiet time.
    uint32_t requestLinesPerSecond { 50 };
    /// Of requests that went well, one in so many is logged: the same ones on every node. 0 for none.
    uint32_t routineOneIn { 128 };
};

/// Lines less important than this are not written.
void setLogLevel(LogLevel);
void setLogLimits(const LogLimits&);

/// Writes one line: time, level, event, fields. Never called with a key or a secret.
void log(LogLevel, std::string_view event, std::initializer_list<LogField> fields = {});

/// Whether a line about the request may be written now; to be asked before its fields are put together. What is not
/// written is counted.
bool wantsRequestLine(LogClass, std::string_view requestLabel);
/// Writes a line about a request for which wantsRequestLine() was true.
void logRequest(LogClass, std::string_view event, std::initializer_list<LogField> fields);

/// Lines about requests that were not written for their number, and lines dropped because nobody read fast enough.
uint64_t suppressedRequestLines();
uint64_t droppedLogLines();

} // namespace Vanillaridge

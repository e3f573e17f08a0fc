/// Log lines on standard error in key=value form, for changes of state only; what happens often is counted instead.
#pragma once

#include <fmt/format.h>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Vanillaridge {

enum class LogLevel : uint8_t { Error, Warning, Info, Debug };
std::string_view toText(LogLevel);

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

/// Lines less important than this are not written.
void setLogLevel(LogLevel);
/// Reads "error", "warning", "info" or "debug"; false when the text is none of them.
bool setLogLevel(std::string_view);

/// Writes one line: time, level, event, fields. Never called with a key or a secret.
void log(LogLevel, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace Vanillaridge

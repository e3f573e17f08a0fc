#include "platform/Platform.h"

#include <charconv>

namespace Vanillaridge {

std::string_view toText(PlatformError error)
{
    constexpr std::array<std::string_view, 6> names { "unreachable", "answer-lost", "conflict", "not-found",
        "too-many-calls", "malformed" };
    return names[static_cast<size_t>(error)];
}

std::string manifestHeadText(uint64_t version) { return std::to_string(version); }

std::optional<uint64_t> manifestHeadFromText(std::string_view text)
{
    uint64_t version = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (error != std::errc() || end != text.data() + text.size() || version == 0)
        return std::nullopt;
    return version;
}

} // namespace Vanillaridge

#include "dialect/Dialect.h"

#include <algorithm>
#include <charconv>

namespace Vanillaridge {

namespace {

    constexpr std::string_view bearerScheme = "Bearer ";
    constexpr std::array<std::string_view, 2> credentialHeaders { "authorization", "proxy-authorization" };

} // namespace

std::optional<std::string_view> bearerKey(const RequestHead& head)
{
    const auto value = head.header("Authorization");
    if (value.size() <= bearerScheme.size() || !sameHeader(value.substr(0, bearerScheme.size()), bearerScheme))
        return std::nullopt;
    return value.substr(bearerScheme.size());
}

std::optional<Duration> millisecondsIn(const RequestHead& head, std::string_view header)
{
    const auto text = head.header(header);
    uint32_t count = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (text.empty() || error != std::errc() || stop != text.data() + text.size())
        return std::nullopt;
    return milliseconds(count);
}

SimpleReply textReply(uint16_t status, std::string_view contentType, std::string body)
{
    return { status, { { "Content-Type", std::string(contentType) } }, std::move(body) };
}

std::vector<HeaderField> headersToPassOn(
    const Dialect& dialect, std::span<const HeaderField> headers, std::string_view key)
{
    std::vector<HeaderField> passedOn;
    passedOn.reserve(headers.size() + 4);
    for (const auto& field : headers) {
        const bool credential = std::any_of(credentialHeaders.begin(), credentialHeaders.end(),
            [&](std::string_view name) { return sameHeader(field.name, name); });
        const bool carriesKey
            = !key.empty() && (field.value.find(key) != std::string::npos || field.name.find(key) != std::string::npos);
        if (!credential && !carriesKey && !dialect.isOwnHeader(field.name))
            passedOn.push_back(field);
    }
    return passedOn;
}

std::string toText(const AttemptId& id) { return toText(id.request) + "." + std::to_string(id.number); }

std::optional<AttemptId> attemptIdFromText(std::string_view text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const auto request = requestIdFromText(text.substr(0, dot));
    AttemptId id;
    const auto [stop, error] = std::from_chars(text.data() + dot + 1, text.data() + text.size(), id.number);
    if (!request || error != std::errc() || stop != text.data() + text.size())
        return std::nullopt;
    id.request = *request;
    return id;
}

} // namespace Vanillaridge

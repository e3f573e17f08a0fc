/// Which framings of HTTP/1 bodies are accepted (RFC 9112, 6.1 to 6.3 and 7.1). Decisions over text that others have
/// parsed: no message is read here.
#pragma once

#include <span>
#include <string_view>
#include <vector>

namespace Vanillaridge {

/// What the head of a message says about the length of its body.
struct BodyFraming {
    /// Values of the Transfer-Encoding fields, in the order of the message.
    std::span<const std::string_view> codings;
    bool hasContentLength { false };
    /// 10 for HTTP/1.0, 11 for HTTP/1.1.
    unsigned version { 11 };
};

/// Whether all recipients agree on where the body ends: the message has no transfer coding, or it is of HTTP/1.1, has
/// no length, and its one coding is chunked. Other codings are not applied, so a body that has one cannot be passed on.
bool isUnambiguous(const BodyFraming&);

/// Whether no further bytes can complete the chunk header, or last chunk and trailer, at the start of these bytes.
/// \param bytes what a parser has left over because it needs more; the end of the chunk before may stand first
bool isMalformedChunkHeader(std::string_view bytes);

/// The same for a message as Boost.Beast keeps it.
template <typename Message> bool hasUnambiguousFraming(const Message& message)
{
    constexpr std::string_view codingField = "Transfer-Encoding";
    std::vector<std::string_view> codings;
    const auto [first, last] = message.equal_range({ codingField.data(), codingField.size() });
    for (auto field = first; field != last; ++field)
        codings.emplace_back(field->value().data(), field->value().size());
    return isUnambiguous({ codings, message.count("Content-Length") > 0, message.version() });
}

} // namespace Vanillaridge

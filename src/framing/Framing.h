/// Which statuses and framings of HTTP/1 messages are accepted (RFC 9110, 15; RFC 9112, 6.1 to 6.3 and 7.1). Decisions
/// over text that others have parsed: no message is read here.
#pragma once

#include <cstdint>
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

/// What a response's status says of the response.
enum class ResponseKind : uint8_t {
    /// Another response to the same request follows.
    Interim,
    Final,
    /// Not a response. What follows its head cannot be told apart from a further response.
    Malformed,
};

/// Interim are 100 to 199, without 101: nobody asks to switch protocols. Final are 200 to 599.
ResponseKind responseKind(unsigned status);

/// Whether a text may be the name of a field: one or more token characters (RFC 9110, 5.6.2).
bool isFieldName(std::string_view);
/// Whether a text may be the value of a field: no control bytes but tabs.
bool isFieldValue(std::string_view);

/// Whether the connection that a response came over tells that a body without a length is whole.
struct ConnectionEnd {
    /// A write to the connection has failed. A reset is reported once: if a write has met it, the reader sees what
    /// looks like an orderly end.
    bool writeFailed { false };
    /// The socket is still connected in one direction, as it is after the other side's orderly end but not after a
    /// reset.
    bool isHalfOpen { true };
};
bool isOrderly(const ConnectionEnd&);

/// isUnambiguous() for a message as Boost.Beast keeps it.
template <typename Message> bool hasUnambiguousFraming(const Message& message)
{
    constexpr std::string_view codingField = "Transfer-Encoding";
    std::vector<std::string_view> codings;
    const auto [first, last] = message.equal_range({ codingField.data(), codingField.size() });
    for (auto field = first; field != last; ++field)
        codings.emplace_back(field->value().data(), field->value().size());
    return isUnambiguous({ codings, message.count("Content-Length") > 0, message.version() });
}

/// The kind of a response as Boost.Beast keeps it. An interim response has no body, so one that says that it has a body
/// is malformed.
template <typename Message> ResponseKind responseKindOf(const Message& message)
{
    const auto kind = hasUnambiguousFraming(message) ? responseKind(message.result_int()) : ResponseKind::Malformed;
    const bool hasFraming = message.count("Transfer-Encoding") || message.count("Content-Length");
    return kind == ResponseKind::Interim && hasFraming ? ResponseKind::Malformed : kind;
}

} // namespace Vanillaridge

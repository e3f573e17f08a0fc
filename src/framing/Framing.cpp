#include "framing/Framing.h"

#include <algorithm>
#include <cctype>

namespace Vanillaridge {

namespace {

    constexpr std::string_view chunked = "chunked";
    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::string_view trailerEnd = "\r\n\r\n";
    constexpr std::string_view hexDigits = "0123456789abcdefABCDEF";
    constexpr std::string_view whitespace = " \t";

    std::string_view trimmed(std::string_view text)
    {
        const auto first = text.find_first_not_of(whitespace);
        return first == std::string_view::npos ? std::string_view()
                                               : text.substr(first, text.find_last_not_of(whitespace) - first + 1);
    }

    bool isChunked(std::string_view coding)
    {
        const auto isSame = [](unsigned char left, unsigned char right) { return std::tolower(left) == right; };
        const auto name = trimmed(coding);
        return std::equal(name.begin(), name.end(), chunked.begin(), chunked.end(), isSame);
    }

    bool hasBareLineFeed(std::string_view text)
    {
        for (auto at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', at + 1)) {
            if (!at || text[at - 1] != '\r')
                return true;
        }
        return false;
    }

} // namespace

bool isUnambiguous(const BodyFraming& framing)
{
    if (framing.codings.empty())
        return true;
    return framing.version >= 11 && !framing.hasContentLength && framing.codings.size() == 1
        && isChunked(framing.codings.front());
}

ResponseKind responseKind(unsigned status)
{
    constexpr unsigned firstInterim = 100;
    constexpr unsigned switchingProtocols = 101;
    constexpr unsigned firstFinal = 200;
    constexpr unsigned firstUnknown = 600;
    if (status < firstInterim || status == switchingProtocols || status >= firstUnknown)
        return ResponseKind::Malformed;
    return status < firstFinal ? ResponseKind::Interim : ResponseKind::Final;
}

bool isFieldName(std::string_view name)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    const auto isTokenCharacter = [&](unsigned char character) {
        return (character < 0x80 && std::isalnum(character)) || marks.find(char(character)) != std::string_view::npos;
    };
    return !name.empty() && std::all_of(name.begin(), name.end(), isTokenCharacter);
}

bool isFieldValue(std::string_view value)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    return std::none_of(value.begin(), value.end(), [&](unsigned char character) {
        return (character < firstPrintable && character != '\t') || character == deleteCharacter;
    });
}

bool isOrderly(const ConnectionEnd& end) { return !end.writeFailed && end.isHalfOpen; }

bool isMalformedChunkHeader(std::string_view bytes)
{
    if (bytes.starts_with(lineEnd))
        bytes.remove_prefix(lineEnd.size());
    if (hasBareLineFeed(bytes))
        return true;
    // A parser goes on at the end of a chunk's line, and after the last chunk at the end of the trailer.
    const auto line = bytes.find(lineEnd);
    if (line == std::string_view::npos)
        return false;
    const auto size = bytes.substr(0, bytes.find_first_not_of(hexDigits));
    const bool isLastChunk = !size.empty() && size.find_first_not_of('0') == std::string_view::npos;
    return !isLastChunk || bytes.find(trailerEnd, line) != std::string_view::npos;
}

} // namespace Vanillaridge

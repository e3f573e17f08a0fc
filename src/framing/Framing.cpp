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

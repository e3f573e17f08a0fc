#include "framing/Framing.h"

#include <algorithm>
#include <cctype>

namespace Vanillaridge {

namespace {

    constexpr std::string_view chunked = "chunked";
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

} // namespace

bool isUnambiguous(const BodyFraming& framing)
{
    if (framing.codings.empty())
        return true;
    return framing.version >= 11 && !framing.hasContentLength && framing.codings.size() == 1
        && isChunked(framing.codings.front());
}

} // namespace Vanillaridge

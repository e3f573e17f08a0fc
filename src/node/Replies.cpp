#include "node/Replies.h"

#include "entry/Entry.h"

#include <fmt/format.h>

namespace Vanillaridge {

namespace {

    constexpr uint16_t unauthorized = 401;
    constexpr uint16_t tooManyRequests = 429;
    constexpr uint16_t unavailable = 503;

    bool mayComeAgain(uint16_t status) { return status == tooManyRequests || status == unavailable; }

} // namespace

SimpleReply textReply(uint16_t status, std::string_view contentType, std::string body)
{
    return { status, { { "Content-Type", std::string(contentType) } }, std::move(body) };
}

// Retry-After counts whole seconds, so the exact time goes along in a header of our own.
SimpleReply replyFor(Reason reason, Duration retryAfter, std::string_view requestText)
{
    const auto& known = row(reason);
    auto reply = textReply(known.httpStatus, "application/json",
        fmt::format(R"({{"outcome":"{}","reason":"{}","detail":"{}","request":"{}"}})"
                    "\n",
            toText(known.outcome), known.name, known.help, requestText));
    reply.headers.push_back({ std::string(outcomeHeader), std::string(toText(known.outcome)) });
    reply.headers.push_back({ std::string(reasonHeader), std::string(known.name) });
    if (known.httpStatus == unauthorized)
        reply.headers.push_back({ "WWW-Authenticate", "Bearer" });
    if (mayComeAgain(known.httpStatus)) {
        const auto wait = std::chrono::ceil<milliseconds>(std::max(retryAfter, Duration(milliseconds(1))));
        reply.headers.push_back({ "Retry-After", std::to_string(std::chrono::ceil<seconds>(wait).count()) });
        reply.headers.push_back({ "Vanillaridge-Retry-After-Milliseconds", std::to_string(wait.count()) });
    }
    return reply;
}

} // namespace Vanillaridge

#include "dialect/Dialect.h"

#include "jsonfields/JsonFields.h"

#include <algorithm>
#include <fmt/format.h>

namespace Vanillaridge {

namespace {

    constexpr uint16_t unauthorized = 401;
    constexpr uint16_t tooManyRequests = 429;
    constexpr uint16_t unavailable = 503;

    constexpr Duration shortestTerm = milliseconds(100);
    constexpr Duration longestTerm = std::chrono::minutes(10);
    constexpr uint64_t largestSlots = 1'000'000;
    constexpr uint64_t largestTerm = 1'000'000; // milliseconds

    bool mayComeAgain(uint16_t status) { return status == tooManyRequests || status == unavailable; }

    /// One thing that a backend server can tell its node.
    struct NewsRow {
        std::string_view path;
        ServerNews::Kind kind;
    };
    constexpr std::array<NewsRow, 4> newsRows { {
        { "/vanillaridge/announce", ServerNews::Kind::Announce },
        { "/vanillaridge/renew", ServerNews::Kind::Renew },
        { "/vanillaridge/drain", ServerNews::Kind::Drain },
        { "/vanillaridge/withdraw", ServerNews::Kind::Withdraw },
    } };

    const NewsRow* newsRowAt(std::string_view path)
    {
        const auto found
            = std::find_if(newsRows.begin(), newsRows.end(), [&](const NewsRow& row) { return row.path == path; });
        return found == newsRows.end() ? nullptr : &*found;
    }

    bool isWhole(const ServerNews& news)
    {
        return !news.endpoint.empty() && news.slots > 0 && news.term >= shortestTerm && news.term <= longestTerm;
    }

    class OwnDialect final : public Dialect {
    public:
        CallerTerms callerTerms(const RequestHead& head) const override
        {
            return { bearerKey(head), millisecondsIn(head, remainingHeader),
                importanceFromText(head.header(importanceHeader)) };
        }

        std::string_view labelIn(std::span<const HeaderField>) const override { return {}; }

        // Retry-After counts whole seconds, so the exact time goes along in a header of our own.
        SimpleReply refusal(const RefusalTerms& terms) const override
        {
            const auto& known = row(terms.reason);
            auto reply = textReply(known.httpStatus, "application/json",
                fmt::format(R"({{"outcome":"{}","reason":"{}","detail":"{}","request":"{}"}})"
                            "\n",
                    toText(known.outcome), known.name, known.help, terms.requestText));
            reply.headers.push_back({ std::string(outcomeHeader), std::string(toText(known.outcome)) });
            reply.headers.push_back({ std::string(reasonHeader), std::string(known.name) });
            if (known.httpStatus == unauthorized)
                reply.headers.push_back({ "WWW-Authenticate", "Bearer" });
            if (mayComeAgain(known.httpStatus)) {
                const auto wait
                    = std::chrono::ceil<milliseconds>(std::max(terms.retryAfter, Duration(milliseconds(1))));
                reply.headers.push_back({ "Retry-After", std::to_string(std::chrono::ceil<seconds>(wait).count()) });
                reply.headers.push_back({ "Vanillaridge-Retry-After-Milliseconds", std::to_string(wait.count()) });
            }
            return reply;
        }

        bool isOwnHeader(std::string_view name) const override
        {
            return name.size() >= ownHeaderPrefix.size()
                && sameHeader(name.substr(0, ownHeaderPrefix.size()), ownHeaderPrefix);
        }

        void addEntryHeaders(const RequestContext&, std::string_view, std::vector<HeaderField>&) const override { }

        void addGuardHeaders(const ServerTerms& terms, std::vector<HeaderField>& headers) const override
        {
            headers.push_back({ std::string(requestHeader), toText(terms.context.attempt) });
            headers.push_back({ std::string(remainingHeader), std::to_string(inMilliseconds(terms.remaining)) });
        }

        // Backend servers may echo the attempt's id. An answer that echoes another one is a late copy.
        AnswerKind judge(const RequestHead& sent, const ReplyHead& reply) const override
        {
            const auto echoed = headerIn(reply.headers, requestHeader);
            return echoed.empty() || echoed == sent.header(requestHeader) ? AnswerKind::Genuine : AnswerKind::Stray;
        }

        bool isServerNews(const RequestHead& head) const override { return newsRowAt(head.path()); }

        std::optional<ServerNews> serverNews(const RequestHead& head, std::string_view body) const override
        {
            const auto* known = newsRowAt(head.path());
            const auto object = parseObject(body);
            if (!known || !object)
                return std::nullopt;
            const auto numberOf = [&](std::string_view name, uint64_t most) {
                return std::min(wholeNumberIn(*object, name).value_or(0), most);
            };
            ServerNews news;
            news.kind = known->kind;
            news.service = textIn(*object, "service").value_or("");
            news.endpoint = textIn(*object, "endpoint").value_or("");
            news.slots = static_cast<uint32_t>(numberOf("slots", largestSlots));
            news.term = milliseconds(numberOf("termMilliseconds", largestTerm));
            if (news.service.empty() || (news.kind == ServerNews::Kind::Announce && !isWhole(news)))
                return std::nullopt;
            return news;
        }

        std::string_view parentOf(const RequestHead& head) const override { return head.header(requestHeader); }
        bool callsNameParent() const override { return true; }
    };

} // namespace

const Dialect& ownDialect()
{
    static const OwnDialect s_dialect;
    return s_dialect;
}

} // namespace Vanillaridge

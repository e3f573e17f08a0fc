#include "node/Handlers.h"

#include "log/Log.h"
#include "node/Replies.h"
#include "node/Report.h"

#include <boost/json.hpp>

namespace Vanillaridge {

namespace json = boost::json;

SimpleReply CountingHandler::rejection(Reason reason)
{
    m_board.counters().addRefusal(reason);
    return replyFor(reason, Duration(0));
}

Task<void> CallerHandler::serve(std::shared_ptr<HttpExchange> exchange)
{
    co_await m_flow.serveCaller(std::move(exchange));
}

// --- Backend servers ------------------------------------------------------------------------------------------------

namespace {

    constexpr size_t announcementBytes = 4096;
    constexpr Duration shortestTerm = milliseconds(100);
    constexpr Duration longestTerm = std::chrono::minutes(10);
    constexpr uint64_t largestSlots = 1'000'000;

    /// What a backend server says of itself.
    struct Announcement {
        ServiceName service;
        Endpoint endpoint;
        uint32_t slots { 0 };
        Duration term { 0 };
    };

    std::string textOf(const json::object& object, std::string_view name)
    {
        const auto* value = object.if_contains(name);
        return value && value->is_string() ? std::string(value->as_string()) : std::string();
    }

    uint64_t numberOf(const json::object& object, std::string_view name)
    {
        const auto* value = object.if_contains(name);
        if (!value || !value->is_number())
            return 0;
        json::error_code error;
        const auto number = value->to_number<int64_t>(error);
        return error || number < 0 ? 0 : static_cast<uint64_t>(number);
    }

    // Nothing when the text is no JSON object, or names no service.
    std::optional<Announcement> readAnnouncement(std::string_view text)
    {
        json::error_code error;
        const auto value = json::parse(text, error);
        if (error || !value.is_object())
            return std::nullopt;
        const auto& object = value.as_object();
        Announcement announcement { textOf(object, "service"), textOf(object, "endpoint"),
            static_cast<uint32_t>(std::min(numberOf(object, "slots"), largestSlots)),
            milliseconds(std::min<uint64_t>(numberOf(object, "termMilliseconds"), 1'000'000)) };
        if (announcement.service.empty())
            return std::nullopt;
        return announcement;
    }

    bool isWhole(const Announcement& announcement)
    {
        return !announcement.endpoint.empty() && announcement.slots > 0 && announcement.term >= shortestTerm
            && announcement.term <= longestTerm;
    }

    /// One thing that a backend server can tell its node.
    struct ServerRequest {
        std::string_view path;
        bool needsWhole;
        bool (*apply)(LocalServers&, const Announcement&);
        std::string_view event;
    };

    bool announce(LocalServers& servers, const Announcement& announcement)
    {
        servers.announce(announcement.service, announcement.endpoint, announcement.slots, announcement.term);
        return true;
    }
    bool renew(LocalServers& servers, const Announcement& announcement) { return servers.renew(announcement.service); }
    bool drain(LocalServers& servers, const Announcement& announcement) { return servers.drain(announcement.service); }
    bool withdraw(LocalServers& servers, const Announcement& announcement)
    {
        return servers.withdraw(announcement.service);
    }

    constexpr std::array<ServerRequest, 4> serverRequests { {
        { "/vanillaridge/announce", true, announce, "backend-server-announced" },
        { "/vanillaridge/renew", false, renew, "" },
        { "/vanillaridge/drain", false, drain, "backend-server-drains" },
        { "/vanillaridge/withdraw", false, withdraw, "backend-server-withdrawn" },
    } };

    const ServerRequest* serverRequestAt(std::string_view path)
    {
        const auto found = std::find_if(serverRequests.begin(), serverRequests.end(),
            [&](const ServerRequest& request) { return request.path == path; });
        return found == serverRequests.end() ? nullptr : &*found;
    }

    void reportNews(std::string_view event, std::string_view service)
    {
        log(LogLevel::Info, event, { { "service", service } });
    }

    // A whole small body; nothing when it is too long or does not come.
    Task<std::optional<std::string>> readSmallBody(HttpExchange& exchange)
    {
        std::string body;
        while (true) {
            const auto piece = co_await exchange.readBody();
            body += piece.bytes;
            if (piece.end == BodyEnd::Last && body.size() <= announcementBytes)
                co_return body;
            if (piece.end != BodyEnd::More || body.size() > announcementBytes)
                co_return std::nullopt;
        }
    }

    SimpleReply problem(std::string_view what)
    {
        return textReply(400, "application/json", json::serialize(json::object { { "problem", what } }) + "\n");
    }

} // namespace

Task<void> ServerHandler::serve(std::shared_ptr<HttpExchange> exchange)
{
    // 1. A call to a deeper service.
    const auto* request = serverRequestAt(exchange->head().path());
    if (!request) {
        co_await m_flow.serveCall(std::move(exchange));
        co_return;
    }

    // 2. News of the backend server itself.
    const auto body = co_await readSmallBody(*exchange);
    const auto announcement = body ? readAnnouncement(*body) : std::nullopt;
    if (!announcement || (request->needsWhole && !isWhole(*announcement))) {
        co_await exchange->reply(problem("expected a JSON object with service, endpoint, slots (1 or more) and "
                                         "termMilliseconds (100 to 600000)"));
        co_return;
    }
    const bool known = m_board.localServers().visit(announcement->service, [](const LocalServerRecord&) {});
    const bool applied = request->apply(m_parts.control.localServers, *announcement);
    const bool changed = applied && !(known && request->needsWhole);
    if (changed && !request->event.empty())
        reportNews(request->event, announcement->service);
    auto reply = applied ? textReply(200, "application/json", "{}\n")
                         : textReply(404, "application/json", "{\"problem\":\"not announced\"}\n");
    co_await exchange->reply(std::move(reply));
}

// --- Operators ------------------------------------------------------------------------------------------------------

namespace {

    /// One page for operators.
    struct OperatorPage {
        std::string_view path;
        SimpleReply (*make)(Parts&);
    };

    SimpleReply livePage(Parts&) { return textReply(200, "text/plain", "live\n"); }

    SimpleReply readyPage(Parts& parts)
    {
        const auto obstacle = obstacleToReadiness(parts);
        return obstacle.empty() ? textReply(200, "text/plain", "ready\n")
                                : textReply(503, "text/plain", obstacle + "\n");
    }

    SimpleReply metricsPage(Parts& parts) { return textReply(200, "text/plain; version=0.0.4", metricsText(parts)); }
    SimpleReply statusPage(Parts& parts) { return textReply(200, "application/json", statusText(parts)); }

    constexpr std::array<OperatorPage, 4> operatorPages { {
        { "/live", livePage },
        { "/ready", readyPage },
        { "/metrics", metricsPage },
        { "/status", statusPage },
    } };

} // namespace

Task<void> OperatorHandler::serve(std::shared_ptr<HttpExchange> exchange)
{
    const auto path = exchange->head().path();
    const auto found = std::find_if(
        operatorPages.begin(), operatorPages.end(), [&](const OperatorPage& page) { return page.path == path; });
    auto reply = found == operatorPages.end() ? textReply(404, "text/plain", "no such page\n") : found->make(m_parts);
    co_await exchange->reply(std::move(reply));
}

} // namespace Vanillaridge

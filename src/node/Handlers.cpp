#include "node/Handlers.h"

#include "log/Log.h"
#include "node/Report.h"

#include <algorithm>

namespace Vanillaridge {

SimpleReply CountingHandler::rejection(Reason reason)
{
    m_board.counters().addRefusal(reason);
    return m_dialect.refusal({ reason });
}

void CountingHandler::noteBuffersFreed(size_t connections)
{
    m_board.counters().add(Counter::ConnectionsEndedForBuffers, connections);
    constexpr Duration linePeriod = seconds(1);
    const auto now = BootClock::now().time_since_epoch();
    auto next = m_nextBufferLine.load();
    if (now.count() >= next && m_nextBufferLine.compare_exchange_strong(next, (now + linePeriod).count()))
        log(LogLevel::Warning, "buffers-short", { { "connections-ended", connections } });
}

Task<void> CallerHandler::serve(std::shared_ptr<HttpExchange> exchange)
{
    co_await m_flow.serveCaller(std::move(exchange));
}

void CallerHandler::noteAcceptance(Acceptance acceptance)
{
    constexpr std::array<void (Intake::*)(), acceptanceCount> notes { &Intake::noteAccepted, &Intake::noteDisplaced,
        &Intake::noteTurnedAway, &Intake::noteFailed };
    (m_intake.*notes[static_cast<size_t>(acceptance)])();
}

// --- Backend servers ------------------------------------------------------------------------------------------------

namespace {

    constexpr size_t newsBytes = 4096;
    // Announcements that may be missed in a row: they are sent again elsewhere when an answer takes a second, and a
    // node that stands still for some seconds must not forget its backend server.
    constexpr int announcementsMissed = 5;

    // A whole small body; nothing when it is too long or does not come.
    Task<std::optional<std::string>> readSmallBody(HttpExchange& exchange)
    {
        std::string body;
        while (true) {
            const auto piece = co_await exchange.readBody();
            body += piece.bytes;
            if (piece.end == BodyEnd::Last && body.size() <= newsBytes)
                co_return body;
            if (piece.end != BodyEnd::More || body.size() > newsBytes)
                co_return std::nullopt;
        }
    }

    constexpr std::array<std::string_view, 4> newsEvents { "backend-server-announced", "backend-server-renewed",
        "backend-server-drains", "backend-server-withdrawn" };

    void reportNews(const ServerNews& news)
    {
        log(LogLevel::Info, newsEvents[static_cast<size_t>(news.kind)],
            { { "service", news.service }, { "instance", news.instance }, { "endpoint", news.endpoint },
                { "life", news.life }, { "sequence", news.sequence } });
    }

    void reportUnkept(const ServerNews& news)
    {
        log(LogLevel::Warning, "departure-not-kept", { { "instance", news.instance }, { "life", news.life } });
    }

    using AskDirectory = void (Directory::*)(Directory::Done);

    // Lambdas with owners in them are made in plain functions: see the developers' page.
    std::shared_ptr<Mailbox<bool>> askDirectory(Directory& directory, AskDirectory ask)
    {
        const auto answered = std::make_shared<Mailbox<bool>>(1);
        (directory.*ask)([answered](bool holds) { answered->put(holds); });
        return answered;
    }

    // Waits for one of the directory's answers about departures.
    Task<bool> awaitDirectory(Directory& directory, AskDirectory ask)
    {
        const auto answered = askDirectory(directory, ask);
        const auto holds = co_await answered->receive();
        co_return holds.value_or(false);
    }

    void reportMalformedNews() { log(LogLevel::Warning, "backend-server-news-malformed"); }

} // namespace

// A backend server that has left must not be taken up again by what it said before, not even by the next process of
// this node: before its departure is acknowledged the store has it, or while the store is away another member, and it
// is read before anything is believed. Without either it takes effect and is not acknowledged.
Task<SimpleReply> ServerHandler::answerNews(ServerNews news)
{
    auto& directory = m_parts.control.directory;
    if (news.life && !directory.hasRecalled()) {
        co_await awaitDirectory(directory, &Directory::recallDepartures);
        if (!directory.hasRecalled())
            co_return textReply(503, "application/json", "{\"problem\":\"starting\"}\n");
    }
    auto reply = takeNews(news);
    if (LocalServers::isDeparture(news)) {
        const bool kept = co_await awaitDirectory(directory, &Directory::rememberDepartures);
        if (!kept) {
            reportUnkept(news);
            co_return textReply(503, "application/json", "{\"problem\":\"departure not kept yet\"}\n");
        }
    }
    co_return reply;
}

SimpleReply ServerHandler::takeNews(const ServerNews& news)
{
    ServerNews whole = news;
    if (whole.term <= Duration(0))
        whole.term = announcementsMissed * m_parts.settings.announcementPeriod;
    const auto outcome = m_parts.control.localServers.take(whole);
    if (outcome == NewsOutcome::Changed)
        reportNews(news);
    if (outcome == NewsOutcome::Unknown && news.kind == ServerNews::Kind::Renew)
        return textReply(404, "application/json", "{\"problem\":\"not announced\"}\n");
    return textReply(200, "application/json", "{}\n");
}

Task<void> ServerHandler::serve(std::shared_ptr<HttpExchange> exchange)
{
    // 1. A call to a deeper service.
    if (!m_parts.dialect.isServerNews(exchange->head())) {
        co_await m_flow.serveCall(std::move(exchange));
        co_return;
    }

    // 2. News of the backend server itself.
    const auto body = co_await readSmallBody(*exchange);
    const auto news = body ? m_parts.dialect.serverNews(exchange->head(), *body) : std::nullopt;
    if (!news) {
        reportMalformedNews();
        auto refusal = textReply(400, "application/json", "{\"problem\":\"malformed or incomplete news\"}\n");
        co_await exchange->reply(std::move(refusal));
        co_return;
    }
    auto reply = co_await answerNews(*news);
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

Task<void> ReadinessHandler::serve(std::shared_ptr<HttpExchange> exchange)
{
    auto reply
        = exchange->head().path() == "/ready" ? readyPage(m_parts) : textReply(404, "text/plain", "no such page\n");
    co_await exchange->reply(std::move(reply));
}

} // namespace Vanillaridge

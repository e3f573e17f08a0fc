// Callers for tests and the demonstration: sends requests to several nodes in turn, at a rate or as fast as answers
// come, and prints a summary as JSON. With --direct every other request goes straight to a backend server, so that the
// two can be compared in one run.
#include "HttpServer.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <map>

namespace StandIns {

using SteadyClock = std::chrono::steady_clock;

struct CallerOptions {
    std::vector<std::string> nodes;
    std::vector<std::string> keys;
    std::string direct;
    std::string method = "GET";
    std::string path = "/";
    size_t bodySize = 0;
    // Requests a second; 0 for a closed loop.
    double rate = 0;
    uint32_t connections = 8;
    uint64_t count = 1000;
    int64_t patienceMilliseconds = 30'000;
};

// What came of the requests of one kind.
struct Tally {
    std::map<std::string, uint64_t> statuses;
    std::map<std::string, uint64_t> outcomes;
    std::map<std::string, uint64_t> reasons;
    std::vector<double> milliseconds;

    boost::json::object summary()
    {
        std::sort(milliseconds.begin(), milliseconds.end());
        const auto quantile = [&](double part) {
            return milliseconds.empty() ? 0 : milliseconds[static_cast<size_t>(part * double(milliseconds.size() - 1))];
        };
        return { { "requests", milliseconds.size() }, { "statuses", boost::json::value_from(statuses) },
            { "outcomes", boost::json::value_from(outcomes) }, { "reasons", boost::json::value_from(reasons) },
            { "p50Milliseconds", quantile(0.5) }, { "p99Milliseconds", quantile(0.99) } };
    }
};

// All on one thread; each coroutine has its own connections.
class CallerStandIn {
public:
    CallerStandIn(Asio::io_context& context, const CallerOptions& options)
        : m_context(context)
        , m_options(options)
        , m_body(options.bodySize, 'x')
        , m_start(SteadyClock::now())
    {
    }

    Asio::awaitable<void> work()
    {
        std::map<std::string, std::unique_ptr<Beast::tcp_stream>> streams;
        for (uint64_t number = m_next++; number < m_options.count; number = m_next++) {
            // 1. Its time, from which its latency counts even if it is sent late.
            auto due = SteadyClock::now();
            if (m_options.rate > 0) {
                due = m_start
                    + std::chrono::duration_cast<SteadyClock::duration>(
                        std::chrono::duration<double>(double(number) / m_options.rate));
                Asio::steady_timer timer(m_context, due);
                error_code ignored;
                co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
            }

            // 2. Its way.
            const bool direct = !m_options.direct.empty() && number % 2;
            const auto turn = m_options.direct.empty() ? number : number / 2;
            const auto& to = direct ? m_options.direct : m_options.nodes[turn % m_options.nodes.size()];
            const auto key = direct || m_options.keys.empty() ? "" : m_options.keys[turn % m_options.keys.size()];
            co_await call(streams[to], to, key, due, direct ? m_direct : m_through);
        }
    }

    void print()
    {
        const std::chrono::duration<double> took = SteadyClock::now() - m_start;
        boost::json::object summary { { "seconds", took.count() }, { "throughNodes", m_through.summary() } };
        if (!m_options.direct.empty())
            summary["direct"] = m_direct.summary();
        fmt::print("{}\n", boost::json::serialize(summary));
    }

private:
    Asio::awaitable<void> call(std::unique_ptr<Beast::tcp_stream>& stream, const std::string& to,
        const std::string& key, SteadyClock::time_point due, Tally& tally)
    {
        error_code error;
        const auto token = [&] { return Asio::redirect_error(Asio::use_awaitable, error); };

        // 1. A connection, kept while it lasts.
        if (!stream) {
            stream = std::make_unique<Beast::tcp_stream>(m_context);
            stream->expires_after(std::chrono::milliseconds(m_options.patienceMilliseconds));
            co_await stream->async_connect(endpointFromText(to), token());
            error_code ignored;
            if (!error)
                stream->socket().set_option(tcp::no_delay(true), ignored);
        }

        // 2. The exchange.
        Http::response_parser<Http::string_body> parser;
        parser.body_limit(boost::none);
        if (!error) {
            auto request = makeRequest(to, key);
            stream->expires_after(std::chrono::milliseconds(m_options.patienceMilliseconds));
            co_await Http::async_write(*stream, request, token());
        }
        Beast::flat_buffer buffer;
        if (!error || error == Asio::error::broken_pipe || error == Asio::error::connection_reset)
            co_await Http::async_read(*stream, buffer, parser, token());

        // 3. What came of it.
        count(tally, error, parser, due);
        if (error || !parser.keep_alive())
            stream.reset();
    }

    Http::request<Http::string_body> makeRequest(const std::string& to, const std::string& key) const
    {
        Http::request<Http::string_body> request;
        request.version(11);
        request.method_string(m_options.method);
        request.target(m_options.path);
        request.set(Http::field::host, to);
        if (!key.empty())
            request.set(Http::field::authorization, "Bearer " + key);
        request.body() = m_body;
        request.prepare_payload();
        return request;
    }

    static void count(Tally& tally, error_code error, const Http::response_parser<Http::string_body>& parser,
        SteadyClock::time_point due)
    {
        const std::chrono::duration<double, std::milli> took = SteadyClock::now() - due;
        tally.milliseconds.push_back(took.count());
        if (error) {
            ++tally.statuses["none"];
            return;
        }
        const auto& answer = parser.get();
        ++tally.statuses[std::to_string(answer.result_int())];
        if (const auto outcome = answer["Vanillaridge-Outcome"]; !outcome.empty())
            ++tally.outcomes[std::string(outcome)];
        if (const auto reason = answer["Vanillaridge-Reason"]; !reason.empty())
            ++tally.reasons[std::string(reason)];
    }

    Asio::io_context& m_context;
    const CallerOptions& m_options;
    const std::string m_body;
    const SteadyClock::time_point m_start;
    uint64_t m_next { 0 };
    Tally m_through;
    Tally m_direct;
};

} // namespace StandIns

int main(int argumentCount, char** arguments)
{
    using namespace StandIns;
    CLI::App app { "Stand-in for callers", "caller-stand-in" };
    CallerOptions options;
    app.add_option("--to", options.nodes, "callers' addresses of nodes, used in turn")->required();
    app.add_option("--key", options.keys, "keys, used in turn");
    app.add_option("--direct", options.direct, "address of a backend server that gets every other request directly");
    app.add_option("--method", options.method, "HTTP method")->capture_default_str();
    app.add_option("--path", options.path, "path to ask for")->capture_default_str();
    app.add_option("--body-size", options.bodySize, "bytes of each request's body")->capture_default_str();
    app.add_option("--rate", options.rate, "requests a second; 0 to send as answers come")->capture_default_str();
    app.add_option("--connections", options.connections, "requests under way at once")->capture_default_str();
    app.add_option("--count", options.count, "requests in all")->capture_default_str();
    app.add_option("--patience", options.patienceMilliseconds, "milliseconds to wait for an answer")
        ->capture_default_str();
    CLI11_PARSE(app, argumentCount, arguments);

    Asio::io_context context { 1 };
    CallerStandIn caller(context, options);
    for (uint32_t i = 0; i < options.connections; ++i)
        Asio::co_spawn(context, caller.work(), Asio::detached);
    context.run();
    caller.print();
}

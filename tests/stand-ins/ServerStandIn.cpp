// A backend server for tests and the demonstration. It announces itself to its node, answers every request after its
// service time, first making the calls it was told to make through its node, and remembers what it began.
//   GET  /stand-in/log    what was begun: ids, targets, headers (of the first requests), whether a key was seen
//   POST /stand-in/modes  {"serviceMilliseconds": 5, "errorRate": 0, "hangRate": 0, "resetRate": 0, "cutRate": 0}
// A request's target may choose a mode for itself: ?mode=error|hang|reset|cut, ?milliseconds=N, ?size=N.
#include "HttpClient.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <fmt/format.h>
#include <mutex>
#include <random>
#include <thread>

namespace StandIns {

namespace Json = boost::json;
using std::chrono::milliseconds;

struct ServerOptions {
    std::string service;
    std::string listen = "127.0.0.1:0";
    // Where the node listens for its backend server; empty for a server that nobody announces.
    std::string node;
    uint32_t slots = 16;
    int64_t termMilliseconds = 3000;
    double serviceMilliseconds = 2;
    // Extra service time just after the start, shrinking to nothing within coldStartMilliseconds.
    double coldStartMilliseconds = 0;
    // "GET /path" of each call to make through the node.
    std::vector<std::string> calls;
    double errorRate = 0;
    double hangRate = 0;
    double resetRate = 0;
    double cutRate = 0;
    uint32_t threads = 1;
};

class ServerStandIn : public std::enable_shared_from_this<ServerStandIn> {
public:
    ServerStandIn(Asio::io_context& context, ServerOptions options)
        : m_context(context)
        , m_options(std::move(options))
        , m_renewal(context)
        , m_started(std::chrono::steady_clock::now())
    {
    }

    void start()
    {
        m_server = std::make_shared<HttpServer>(m_context, endpointFromText(m_options.listen),
            [self = shared_from_this()](const ExchangePointer& exchange) { self->handle(exchange); });
        m_server->accept();
        fmt::print("server-stand-in service={} port={}\n", m_options.service, m_server->port());
        std::fflush(stdout);
        announce();
    }

    // Withdraws, waits for what is running, and ends.
    void stop()
    {
        m_stopping = true;
        tellNode("/vanillaridge/withdraw", { { "service", m_options.service } },
            [self = shared_from_this()](const ClientAnswer&) { self->endWhenIdle(); });
    }

private:
    // --- Towards the node ---

    void tellNode(const std::string& path, const Json::object& news, ClientCall::Done done)
    {
        if (m_options.node.empty())
            return done({});
        Http::request<Http::string_body> request { Http::verb::post, path, 11, Json::serialize(news) };
        request.set(Http::field::content_type, "application/json");
        std::make_shared<ClientCall>(m_context, std::move(request), std::move(done))
            ->start(endpointFromText(m_options.node), milliseconds(2000));
    }

    void announce()
    {
        if (m_options.node.empty() || m_stopping)
            return;
        const auto endpoint = fmt::format("127.0.0.1:{}", m_server->port());
        tellNode("/vanillaridge/announce",
            { { "service", m_options.service }, { "endpoint", endpoint }, { "slots", m_options.slots },
                { "termMilliseconds", m_options.termMilliseconds }, { "generation", 1 } },
            [self = shared_from_this()](const ClientAnswer& answer) {
                constexpr milliseconds retry(100);
                self->m_renewal.expires_after(
                    answer.status == 200 ? milliseconds(self->m_options.termMilliseconds / 3) : retry);
                self->m_renewal.async_wait([self](error_code error) {
                    if (!error)
                        self->announce();
                });
            });
    }

    void endWhenIdle()
    {
        constexpr milliseconds lookPeriod(20);
        if (m_running == 0)
            return m_context.stop();
        m_renewal.expires_after(lookPeriod);
        m_renewal.async_wait([self = shared_from_this()](error_code) { self->endWhenIdle(); });
    }

    // --- Requests ---

    void handle(const ExchangePointer& exchange)
    {
        const std::string target(exchange->request().target());
        if (target == "/stand-in/log")
            return exchange->respond(200, Json::serialize(log()));
        if (target == "/stand-in/modes")
            return setModes(exchange);
        const auto most = ++m_running;
        for (auto seen = m_mostRunning.load(); most > seen && !m_mostRunning.compare_exchange_weak(seen, most);) { }
        remember(exchange->request());
        auto timer = std::make_shared<Asio::steady_timer>(m_context, workTime(target));
        timer->async_wait(
            [self = shared_from_this(), timer, exchange](error_code) { self->callNext(exchange, 0, {}); });
    }

    static std::string parameter(std::string_view target, std::string_view name)
    {
        const auto start = target.find(std::string(name) + '=');
        if (start == std::string_view::npos)
            return {};
        const auto value = target.substr(start + name.size() + 1);
        return std::string(value.substr(0, value.find('&')));
    }

    static double numberOr(const std::string& text, double otherwise)
    {
        return text.empty() ? otherwise : std::atof(text.c_str());
    }

    // Beyond its slots a server works on everything at once, each the slower for it.
    std::chrono::microseconds workTime(const std::string& target) const
    {
        const std::chrono::duration<double, std::milli> age = std::chrono::steady_clock::now() - m_started;
        const double crowd = std::max(1.0, double(m_running) / m_options.slots);
        std::lock_guard guard(m_lock);
        const double cold = std::max(0.0, m_options.coldStartMilliseconds - age.count()) / 10;
        const double own = numberOr(parameter(target, "milliseconds"), m_options.serviceMilliseconds);
        return std::chrono::microseconds(static_cast<int64_t>((own * crowd + cold) * 1000));
    }

    void remember(const Request& request)
    {
        constexpr size_t mostRemembered = 200'000;
        constexpr size_t mostWithHeaders = 1000;
        Json::object entry { { "id", std::string(request["Vanillaridge-Request"]) },
            { "method", std::string(request.method_string()) }, { "target", std::string(request.target()) },
            { "bodyLength", request.body().length } };
        const bool hasKey = request.find(Http::field::authorization) != request.end()
            || request.find(Http::field::proxy_authorization) != request.end();
        std::lock_guard guard(m_lock);
        m_requestsWithKey += hasKey;
        ++m_begun;
        if (m_log.size() >= mostRemembered)
            return;
        if (m_log.size() < mostWithHeaders) {
            Json::object headers;
            for (const auto& field : request)
                headers[std::string(field.name_string())] = std::string(field.value());
            entry["headers"] = std::move(headers);
        }
        m_log.push_back(std::move(entry));
    }

    Json::object log() const
    {
        std::lock_guard guard(m_lock);
        return { { "service", m_options.service }, { "begun", m_begun }, { "answered", m_answered },
            { "requestsWithKey", m_requestsWithKey }, { "mostRunning", m_mostRunning.load() },
            { "running", m_running.load() }, { "requests", m_log } };
    }

    void setModes(const ExchangePointer& exchange)
    {
        error_code error;
        const auto value = Json::parse(exchange->request().body().text, error);
        if (error || !value.is_object())
            return exchange->respond(400, "a JSON object is expected");
        struct ModeRow {
            const char* name;
            double ServerOptions::*member;
        };
        constexpr std::array<ModeRow, 5> rows { { { "serviceMilliseconds", &ServerOptions::serviceMilliseconds },
            { "errorRate", &ServerOptions::errorRate }, { "hangRate", &ServerOptions::hangRate },
            { "resetRate", &ServerOptions::resetRate }, { "cutRate", &ServerOptions::cutRate } } };
        {
            std::lock_guard guard(m_lock);
            for (const auto& row : rows) {
                if (const auto* mode = value.get_object().if_contains(row.name); mode && mode->is_number())
                    m_options.*row.member = mode->to_number<double>();
            }
        }
        exchange->respond(200, "set");
    }

    // Makes one call after the other, and answers after the last.
    void callNext(const ExchangePointer& exchange, size_t index, Json::array outcomes)
    {
        if (index == m_options.calls.size())
            return answer(exchange, std::move(outcomes));
        const auto& call = m_options.calls[index];
        const auto space = call.find(' ');
        Http::request<Http::string_body> request;
        request.method_string(call.substr(0, space));
        request.target(call.substr(space + 1));
        request.set("Vanillaridge-Request", exchange->request()["Vanillaridge-Request"]);
        constexpr milliseconds patience(30'000);
        std::make_shared<ClientCall>(m_context, std::move(request),
            [self = shared_from_this(), exchange, index, outcomes = std::move(outcomes)](
                const ClientAnswer& answer) mutable {
                error_code error;
                const auto deeper = Json::parse(answer.body, error);
                outcomes.push_back({ { "status", answer.status }, { "answer", error ? Json::value() : deeper } });
                self->callNext(exchange, index + 1, std::move(outcomes));
            })
            ->start(endpointFromText(m_options.node), patience);
    }

    std::string modeOf(const std::string& target)
    {
        if (const auto mode = parameter(target, "mode"); !mode.empty())
            return mode;
        std::lock_guard guard(m_lock);
        double draw = std::uniform_real_distribution<double>()(m_random);
        for (const auto& [mode, rate] : { std::pair("error", m_options.errorRate), { "hang", m_options.hangRate },
                 { "reset", m_options.resetRate }, { "cut", m_options.cutRate } }) {
            if (draw < rate)
                return mode;
            draw -= rate;
        }
        return {};
    }

    std::string bodyOf(const Request& request, Json::array calls) const
    {
        std::string body = Json::serialize(Json::object { { "service", m_options.service },
            { "request", std::string(request["Vanillaridge-Request"]) }, { "target", std::string(request.target()) },
            { "bodyLength", request.body().length },
            { "bodyChecksum", fmt::format("{:016x}", request.body().checksum) }, { "calls", std::move(calls) } });
        const auto size = static_cast<size_t>(numberOr(parameter(std::string(request.target()), "size"), 0));
        if (body.size() < size)
            body.append(size - body.size(), ' ');
        return body;
    }

    void answer(const ExchangePointer& exchange, Json::array calls)
    {
        const bool deeperFailed = std::any_of(calls.begin(), calls.end(), [](const Json::value& call) {
            return call.at("status").to_number<int>() >= 400 || call.at("status").to_number<int>() == 0;
        });
        const auto mode = modeOf(std::string(exchange->request().target()));
        auto body = bodyOf(exchange->request(), std::move(calls));
        {
            std::lock_guard guard(m_lock);
            if (mode == "hang")
                m_hanging.push_back(exchange);
            else
                ++m_answered;
        }
        --m_running;
        if (mode == "reset")
            exchange->resetInTheMiddle(std::move(body));
        else if (mode == "cut")
            exchange->cutShort(std::move(body));
        else if (mode != "hang")
            exchange->respond(mode == "error" ? 500
                    : deeperFailed            ? 502
                                              : 200,
                std::move(body), "Content-Type", "application/json");
    }

    Asio::io_context& m_context;
    std::shared_ptr<HttpServer> m_server;
    ServerOptions m_options;
    Asio::steady_timer m_renewal;
    const std::chrono::steady_clock::time_point m_started;
    std::atomic<bool> m_stopping { false };
    std::atomic<uint32_t> m_running { 0 };
    std::atomic<uint32_t> m_mostRunning { 0 };
    mutable std::mutex m_lock;
    std::mt19937_64 m_random { 1 };
    Json::array m_log;
    uint64_t m_begun { 0 };
    uint64_t m_answered { 0 };
    uint64_t m_requestsWithKey { 0 };
    std::vector<ExchangePointer> m_hanging;
};

} // namespace StandIns

int main(int argumentCount, char** arguments)
{
    using namespace StandIns;
    // 1. Settings.
    CLI::App app { "Stand-in for a backend server", "server-stand-in" };
    ServerOptions options;
    app.add_option("--service", options.service, "name of its service")->required();
    app.add_option("--listen", options.listen, "address:port; port 0 for any")->capture_default_str();
    app.add_option("--node", options.node, "the node's address for backend servers; leave out to announce nothing");
    app.add_option("--slots", options.slots, "requests worked on at full speed")->capture_default_str();
    app.add_option("--term", options.termMilliseconds, "term of the announcement, in milliseconds")
        ->capture_default_str();
    app.add_option("--service-time", options.serviceMilliseconds, "milliseconds of work for each request")
        ->capture_default_str();
    app.add_option("--cold-start", options.coldStartMilliseconds, "milliseconds during which it is slower at first");
    app.add_option("--call", options.calls, "\"METHOD /path\" to call through the node for each request");
    app.add_option("--error-rate", options.errorRate, "fraction of requests answered with status 500");
    app.add_option("--hang-rate", options.hangRate, "fraction of requests never answered");
    app.add_option("--reset-rate", options.resetRate, "fraction of answers reset in the middle");
    app.add_option("--cut-rate", options.cutRate, "fraction of answers that end too early");
    app.add_option("--threads", options.threads, "threads")->capture_default_str();
    CLI11_PARSE(app, argumentCount, arguments);

    // 2. Run until SIGTERM, then withdraw and drain.
    Asio::io_context context { static_cast<int>(options.threads) };
    auto server = std::make_shared<ServerStandIn>(context, options);
    server->start();
    Asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](error_code, int) { server->stop(); });
    std::vector<std::jthread> threads;
    for (uint32_t i = 1; i < options.threads; ++i)
        threads.emplace_back([&] { context.run(); });
    context.run();
}

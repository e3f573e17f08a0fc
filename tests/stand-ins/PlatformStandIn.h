// The platform's object API over HTTP, in memory, with faults. docs/PLATFORM.md describes the API; beside it:
//   POST /stand-in/faults  {"down": "no|refuse|unavailable|hang", "delayMilliseconds": 0, "loseAnswers": false,
//                           "staleReads": false, "silentWatches": false}
//   GET  /stand-in/calls   counts of calls by kind
#pragma once

#include "HttpServer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <list>
#include <map>
#include <mutex>

namespace StandIns {

struct PlatformFaults {
    // "no", "refuse" (close without an answer), "unavailable" (503) or "hang" (never answer).
    std::string down { "no" };
    // Time that each answer takes.
    std::chrono::milliseconds delay { 0 };
    // Changes take effect and are not answered.
    bool loseAnswers { false };
    // Reads show each object as it was before its latest change.
    bool staleReads { false };
    // Watches are never answered.
    bool silentWatches { false };
};

class PlatformStandIn : public std::enable_shared_from_this<PlatformStandIn> {
public:
    explicit PlatformStandIn(Asio::io_context& context)
        : m_context(context)
    {
    }

    void listen(const tcp::endpoint& endpoint)
    {
        m_server = std::make_shared<HttpServer>(m_context, endpoint,
            [self = shared_from_this()](const ExchangePointer& exchange) { self->handle(exchange); });
        m_server->accept();
    }

    uint16_t port() const { return m_server->port(); }

    void setFaults(PlatformFaults faults)
    {
        std::lock_guard guard(m_lock);
        m_faults = std::move(faults);
    }

    std::map<std::string, uint64_t> calls() const
    {
        std::lock_guard guard(m_lock);
        return m_calls;
    }

    std::optional<std::string> stored(const std::string& name) const
    {
        std::lock_guard guard(m_lock);
        const auto found = m_objects.find(name);
        return found == m_objects.end() ? std::nullopt : found->second.present.value;
    }

private:
    struct Revision {
        uint64_t version { 0 };
        // Nothing when the object does not exist.
        std::optional<std::string> value;
    };
    struct Object {
        Revision present;
        Revision before;
    };
    struct Answer {
        unsigned status { 200 };
        std::string body;
        uint64_t version { 0 };
    };
    struct Watch {
        std::string name;
        uint64_t pastVersion;
        ExchangePointer exchange;
        Asio::steady_timer patience;
    };

    static std::string parameter(std::string_view target, std::string_view name)
    {
        const auto start = target.find(std::string(name) + '=');
        if (start == std::string_view::npos)
            return {};
        const auto value = target.substr(start + name.size() + 1);
        return std::string(value.substr(0, value.find('&')));
    }

    static uint64_t numberIn(std::string_view text)
    {
        uint64_t number = 0;
        const auto digits = text.find_first_of("0123456789");
        if (digits != std::string_view::npos)
            std::from_chars(text.data() + digits, text.data() + text.size(), number);
        return number;
    }

    void handle(const ExchangePointer& exchange)
    {
        const std::string target(exchange->request().target());
        if (target.starts_with("/stand-in/")) {
            administer(exchange, target);
            return;
        }
        std::unique_lock guard(m_lock);
        const auto faults = m_faults;
        ++m_calls[kindOf(exchange->request(), target)];
        if (faults.down == "hang") {
            m_hanging.push_back(exchange);
        } else if (faults.down == "refuse") {
            exchange->close();
        } else if (faults.down == "unavailable") {
            guard.unlock();
            send(exchange, { 503, "unavailable" }, faults.delay);
        } else if (target.find("watch=") != std::string::npos) {
            watch(exchange, target);
        } else {
            const bool isChange = exchange->request().method() != Http::verb::get;
            const auto answer = isChange ? change(exchange->request(), target) : read(target);
            guard.unlock();
            if (isChange && faults.loseAnswers)
                exchange->close();
            else
                send(exchange, answer, faults.delay);
        }
    }

    static std::string kindOf(const Request& request, const std::string& target)
    {
        if (request.method() == Http::verb::put)
            return "put";
        if (request.method() == Http::verb::delete_)
            return "remove";
        if (target.find("watch=") != std::string::npos)
            return "watch";
        return target.find("prefix=") != std::string::npos ? "list" : "get";
    }

    void administer(const ExchangePointer& exchange, const std::string& target)
    {
        if (target == "/stand-in/calls") {
            exchange->respond(200, boost::json::serialize(boost::json::value_from(calls())));
            return;
        }
        error_code error;
        const auto value = boost::json::parse(exchange->request().body().text, error);
        if (error || !value.is_object()) {
            exchange->respond(400, "a JSON object is expected");
            return;
        }
        const auto& object = value.get_object();
        const auto flag = [&](const char* name) { return object.contains(name) && object.at(name) == true; };
        PlatformFaults faults;
        if (const auto* down = object.if_contains("down"); down && down->is_string())
            faults.down = down->get_string().c_str();
        if (const auto* delay = object.if_contains("delayMilliseconds"); delay && delay->is_int64())
            faults.delay = std::chrono::milliseconds(delay->get_int64());
        faults.loseAnswers = flag("loseAnswers");
        faults.staleReads = flag("staleReads");
        faults.silentWatches = flag("silentWatches");
        setFaults(faults);
        exchange->respond(200, "set");
    }

    static std::string nameIn(const std::string& target)
    {
        constexpr std::string_view path = "/objects/";
        return target.starts_with(path) ? target.substr(path.size(), target.find('?') - path.size()) : std::string();
    }

    const Revision& seen(const Object& object) const { return m_faults.staleReads ? object.before : object.present; }

    Answer readObject(const std::string& name) const
    {
        const auto found = m_objects.find(name);
        if (found == m_objects.end() || !seen(found->second).value)
            return { 404, "not found" };
        return { 200, *seen(found->second).value, seen(found->second).version };
    }

    Answer read(const std::string& target) const
    {
        if (target.find("prefix=") == std::string::npos)
            return readObject(nameIn(target));
        boost::json::array entries;
        const auto prefix = parameter(target, "prefix");
        for (const auto& [name, object] : m_objects) {
            const auto& revision = seen(object);
            if (name.starts_with(prefix) && revision.value)
                entries.push_back({ { "name", name }, { "version", revision.version }, { "value", *revision.value } });
        }
        return { 200, boost::json::serialize(entries) };
    }

    Answer change(const Request& request, const std::string& target)
    {
        const auto name = nameIn(target);
        const auto found = m_objects.find(name);
        const bool exists = found != m_objects.end() && found->second.present.value;
        const bool expectsAbsent = request.find(Http::field::if_none_match) != request.end();
        const uint64_t expected = numberIn(std::string_view(request[Http::field::if_match]));
        if (expectsAbsent ? exists : !exists || found->second.present.version != expected)
            return { 412, "conflict" };
        auto& object = m_objects[name];
        object.before = object.present;
        object.present = { ++m_newestVersion, std::nullopt };
        const bool removes = request.method() == Http::verb::delete_;
        if (!removes)
            object.present.value = request.body().text;
        tellWatches(name);
        return { 200, {}, removes ? expected : m_newestVersion };
    }

    void watch(const ExchangePointer& exchange, const std::string& target)
    {
        const auto name = nameIn(target);
        const auto pastVersion = numberIn(parameter(target, "watch"));
        const auto answer = readObject(name);
        if (m_faults.silentWatches) {
            m_hanging.push_back(exchange);
        } else if (answer.status == 200 && answer.version > pastVersion) {
            send(exchange, answer, m_faults.delay);
        } else {
            const auto patience = std::chrono::milliseconds(numberIn(parameter(target, "patience")));
            m_watches.push_back({ name, pastVersion, exchange, Asio::steady_timer(m_context, patience) });
            m_watches.back().patience.async_wait([self = shared_from_this(), exchange](error_code error) {
                if (!error)
                    self->endWatch(exchange);
            });
        }
    }

    void endWatch(const ExchangePointer& exchange)
    {
        std::lock_guard guard(m_lock);
        for (auto entry = m_watches.begin(); entry != m_watches.end(); ++entry) {
            if (entry->exchange == exchange) {
                send(exchange, readObject(entry->name), m_faults.delay);
                m_watches.erase(entry);
                return;
            }
        }
    }

    void tellWatches(const std::string& name)
    {
        for (auto entry = m_watches.begin(); entry != m_watches.end();) {
            if (entry->name != name) {
                ++entry;
                continue;
            }
            if (m_faults.silentWatches)
                m_hanging.push_back(entry->exchange);
            else
                send(entry->exchange, readObject(name), m_faults.delay);
            entry = m_watches.erase(entry);
        }
    }

    void send(const ExchangePointer& exchange, const Answer& answer, std::chrono::milliseconds delay)
    {
        auto timer = std::make_shared<Asio::steady_timer>(m_context, delay);
        timer->async_wait([timer, exchange, answer](error_code) {
            exchange->respond(
                answer.status, answer.body, answer.version ? "Object-Version" : "", std::to_string(answer.version));
        });
    }

    Asio::io_context& m_context;
    std::shared_ptr<HttpServer> m_server;
    mutable std::mutex m_lock;
    PlatformFaults m_faults;
    std::map<std::string, Object> m_objects;
    uint64_t m_newestVersion { 0 };
    std::list<Watch> m_watches;
    std::vector<ExchangePointer> m_hanging;
    std::map<std::string, uint64_t> m_calls;
};

} // namespace StandIns

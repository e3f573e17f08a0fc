#include "platformclient/CallGate.h"
#include "platformclient/HttpCall.h"
#include "platformclient/PlatformClient.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>

namespace Vanillaridge {

namespace {

    constexpr std::string_view objectsPath = "/objects";
    constexpr std::string_view urlScheme = "http://";
    constexpr std::string_view defaultPort = "80";

    HttpServerName serverOf(std::string_view url)
    {
        url.remove_prefix(std::min(url.size(), urlScheme.size()));
        const auto colon = url.rfind(':');
        const auto bracket = url.rfind(']');
        const bool hasPort = colon != std::string_view::npos && (bracket == std::string_view::npos || colon > bracket);
        std::string host(url.substr(0, hasPort ? colon : url.size()));
        if (host.starts_with('[') && host.ends_with(']'))
            host = host.substr(1, host.size() - 2);
        return { host, std::string(hasPort ? url.substr(colon + 1) : defaultPort) };
    }

    // Names are made of characters that stand for themselves in a URL; an empty target stands for a name that is not.
    std::string targetOf(std::string_view separator, std::string_view name)
    {
        constexpr std::string_view characters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~/";
        if (name.find_first_not_of(characters) != std::string_view::npos)
            return {};
        return std::string(objectsPath).append(separator).append(name);
    }

    std::string targetOf(std::string_view name) { return targetOf("/", name); }

    // What a status other than success means. Only the platform's own refusals prove that a change had no effect.
    PlatformError errorOf(unsigned status, bool isChange)
    {
        struct StatusRow {
            unsigned status;
            PlatformError error;
        };
        constexpr std::array<StatusRow, 4> rows { { { 404, PlatformError::NotFound }, { 412, PlatformError::Conflict },
            { 429, PlatformError::TooManyCalls }, { 503, PlatformError::Unreachable } } };
        const auto found
            = std::find_if(rows.begin(), rows.end(), [&](const auto& entry) { return entry.status == status; });
        if (found != rows.end())
            return found->error;
        return isChange ? PlatformError::AnswerLost : PlatformError::Malformed;
    }

    // Whether an error is one of the platform's being in trouble, rather than an answer.
    bool isFailure(PlatformError error) { return error != PlatformError::NotFound && error != PlatformError::Conflict; }

    PlatformResult<std::vector<StoredObject>> readList(std::string_view text)
    {
        boost::system::error_code error;
        const auto value = boost::json::parse(boost::json::string_view(text.data(), text.size()), error);
        if (error || !value.is_array())
            return PlatformError::Malformed;
        std::vector<StoredObject> objects;
        for (const auto& entry : value.get_array()) {
            const auto* object = entry.if_object();
            const auto* name = object ? object->if_contains("name") : nullptr;
            const auto* version = object ? object->if_contains("version") : nullptr;
            const auto* content = object ? object->if_contains("value") : nullptr;
            if (!name || !name->is_string() || !version || !version->is_int64() || version->get_int64() <= 0 || !content
                || !content->is_string())
                return PlatformError::Malformed;
            objects.push_back({ std::string(name->get_string().c_str()), static_cast<uint64_t>(version->get_int64()),
                std::string(content->get_string().data(), content->get_string().size()) });
        }
        return objects;
    }

} // namespace

struct HttpPlatform::Client : std::enable_shared_from_this<Client> {
    template <typename Value> using Reader = std::function<PlatformResult<Value>(HttpAnswer&&)>;

    Client(boost::asio::io_context& context, const PlatformSettings& settings, const Clock& clock, RandomSource& random,
        Counters& counters)
        : context(context)
        , server(serverOf(settings.url))
        , timeout(settings.timeout)
        , gate(settings.callsPerSecond, settings.callBurst, clock, random)
        , counters(counters)
    {
    }

    // Makes one call if the gate allows it, and gives its outcome to the callback.
    template <typename Value> void call(HttpQuestion question, Reader<Value> read, Callback<Value> done)
    {
        // 1. May it be made? The refusal goes out from the event loop, never from within this call.
        if (const auto refused = refusal(question)) {
            boost::asio::post(context, [done = std::move(done), error = *refused] { done(error); });
            return;
        }

        // 2. Make it.
        counters.add(Counter::PlatformCalls);
        const bool isChange = question.isChange();
        exchange(context, server, std::move(question), timeout,
            [self = shared_from_this(), isChange, read = std::move(read), done = std::move(done)](auto&& answer) {
                auto result = self->template outcome<Value>(std::move(answer), isChange, read);
                self->note(result ? std::nullopt : std::optional(result.error()));
                done(std::move(result));
            });
    }

    std::optional<PlatformError> refusal(const HttpQuestion& question)
    {
        if (question.target.empty())
            return PlatformError::Malformed;
        switch (gate.ask()) {
        case CallGate::Answer::Go:
            return std::nullopt;
        case CallGate::Answer::TooManyCalls:
            return PlatformError::TooManyCalls;
        case CallGate::Answer::BackingOff:
            break;
        }
        return PlatformError::Unreachable;
    }

    template <typename Value>
    PlatformResult<Value> outcome(PlatformResult<HttpAnswer> answer, bool isChange, const Reader<Value>& read)
    {
        if (!answer)
            return answer.error();
        const auto status = answer.value().status;
        if (status != 200 && status != 201)
            return errorOf(status, isChange);
        return read(HttpAnswer(answer.value()));
    }

    // Counts the outcome and tells the gate.
    void note(std::optional<PlatformError> error)
    {
        if (error && isFailure(*error)) {
            counters.add(Counter::PlatformFailures);
            gate.failed();
            return;
        }
        if (error == PlatformError::Conflict)
            counters.add(Counter::PlatformConflicts);
        gate.succeeded();
    }

    static Reader<StoredObject> objectReader(std::string_view name)
    {
        return [name = std::string(name)](HttpAnswer&& answer) -> PlatformResult<StoredObject> {
            if (!answer.version)
                return PlatformError::Malformed;
            return StoredObject { name, answer.version, std::move(answer.body) };
        };
    }

    // A change whose answer names no version has to be read back like one without an answer.
    static PlatformResult<uint64_t> readVersion(HttpAnswer&& answer)
    {
        if (!answer.version)
            return PlatformError::AnswerLost;
        return answer.version;
    }

    boost::asio::io_context& context;
    const HttpServerName server;
    const Duration timeout;
    CallGate gate;
    Counters& counters;
};

HttpPlatform::HttpPlatform(boost::asio::io_context& context, const PlatformSettings& settings, const Clock& clock,
    RandomSource& random, Counters& counters)
    : m_client(std::make_shared<Client>(context, settings, clock, random, counters))
{
}

HttpPlatform::~HttpPlatform() = default;

void HttpPlatform::get(std::string_view name, Callback<StoredObject> done)
{
    m_client->call<StoredObject>(
        { HttpQuestion::Method::Get, targetOf(name), {} }, Client::objectReader(name), std::move(done));
}

void HttpPlatform::list(std::string_view prefix, Callback<std::vector<StoredObject>> done)
{
    m_client->call<std::vector<StoredObject>>(
        { HttpQuestion::Method::Get, targetOf("?prefix=", prefix), {} },
        [](HttpAnswer&& answer) { return readList(answer.body); }, std::move(done));
}

void HttpPlatform::put(std::string_view name, std::string_view value, uint64_t expectedVersion, Callback<uint64_t> done)
{
    m_client->call<uint64_t>({ HttpQuestion::Method::Put, targetOf(name), std::string(value), expectedVersion },
        Client::readVersion, std::move(done));
}

void HttpPlatform::remove(std::string_view name, uint64_t expectedVersion, Callback<uint64_t> done)
{
    m_client->call<uint64_t>(
        { HttpQuestion::Method::Delete, targetOf(name), {}, expectedVersion }, Client::readVersion, std::move(done));
}

void HttpPlatform::watch(std::string_view name, uint64_t pastVersion, Duration patience, Callback<StoredObject> done)
{
    const auto wait = std::chrono::duration_cast<milliseconds>(patience).count();
    auto target = targetOf(name);
    if (!target.empty())
        target += "?watch=" + std::to_string(pastVersion) + "&patience=" + std::to_string(wait);
    m_client->call<StoredObject>({ HttpQuestion::Method::Get, std::move(target), {}, absentVersion, patience },
        Client::objectReader(name), std::move(done));
}

std::unique_ptr<Platform> makePlatform(boost::asio::io_context& context, const PlatformSettings& settings,
    const Clock& clock, RandomSource& random, Counters& counters)
{
    if (!settings.manifest.empty())
        return std::make_unique<FilePlatform>(context, settings.manifest);
    return std::make_unique<HttpPlatform>(context, settings, clock, random, counters);
}

} // namespace Vanillaridge

#include "core/Core.h"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <mutex>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <random>
#include <stdexcept>

namespace Vanillaridge {

BootClock::time_point BootClock::now() noexcept
{
    timespec reading {};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec));
}

Instant SystemClock::now() const { return BootClock::now(); }

double unitOfHash(uint64_t hash)
{
    constexpr int mantissaBits = 53;
    return static_cast<double>(hash >> (64 - mantissaBits)) / static_cast<double>(uint64_t(1) << mantissaBits);
}

double RandomSource::unit() { return unitOfHash(next()); }

uint64_t RandomSource::below(uint64_t bound) { return bound ? next() % bound : 0; }

Duration RandomSource::jittered(Duration base, double fraction)
{
    const double factor = 1.0 + fraction * (2.0 * unit() - 1.0);
    return Duration(static_cast<Duration::rep>(static_cast<double>(base.count()) * factor));
}

namespace {

    // The standard generator behind a lock: draws are rare beside the work of a request.
    class SeededRandom final : public RandomSource {
    public:
        explicit SeededRandom(uint64_t seed)
            : m_generator(seed)
        {
        }

        uint64_t next() override
        {
            std::lock_guard guard(m_lock);
            return m_generator();
        }

    private:
        std::mutex m_lock;
        std::mt19937_64 m_generator;
    };

} // namespace

std::unique_ptr<RandomSource> makeSeededRandom(uint64_t seed) { return std::make_unique<SeededRandom>(seed); }

std::unique_ptr<RandomSource> makeSystemRandom()
{
    std::random_device device;
    return makeSeededRandom((uint64_t(device()) << 32) | device());
}

namespace {

    // The algorithm is looked up once: the one-shot functions of the library do so at each call.
    KeyDigest sha256(std::string_view text)
    {
        static EVP_MD* const s_algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
        KeyDigest digest;
        if (EVP_Digest(text.data(), text.size(), digest.data(), nullptr, s_algorithm, nullptr) != 1)
            throw std::runtime_error("a digest could not be computed");
        return digest;
    }

} // namespace

uint64_t stableHash(std::string_view text)
{
    const auto digest = sha256(text);
    uint64_t value = 0;
    for (size_t i = 0; i < sizeof(value); ++i)
        value = value << 8 | digest[i];
    return value;
}

// The finalizer of the splitmix64 generator: cheap, and every input bit reaches every output bit.
uint64_t mixHash(uint64_t first, uint64_t second)
{
    uint64_t value = first + 0x9e3779b97f4a7c15 * (second + 1);
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

std::string toText(const RequestId& id)
{
    char text[3 * 16 + 3];
    std::snprintf(text, sizeof(text), "%016lx-%016lx-%lx", static_cast<unsigned long>(id.entry.value),
        static_cast<unsigned long>(id.boot.value), static_cast<unsigned long>(id.sequence));
    return text;
}

std::optional<RequestId> requestIdFromText(std::string_view text)
{
    std::array<uint64_t, 3> parts {};
    for (size_t i = 0; i < parts.size(); ++i) {
        const bool last = i + 1 == parts.size();
        const auto end = last ? text.size() : text.find('-');
        if (end == std::string_view::npos)
            return std::nullopt;
        const auto [stop, error] = std::from_chars(text.data(), text.data() + end, parts[i], 16);
        if (error != std::errc() || stop != text.data() + end)
            return std::nullopt;
        text.remove_prefix(last ? end : end + 1);
    }
    return RequestId { { parts[0] }, { parts[1] }, parts[2] };
}

KeyDigest digestOfKey(std::string_view key) { return sha256(key); }

bool equalInConstantTime(std::span<const uint8_t> left, std::span<const uint8_t> right)
{
    return left.size() == right.size() && !CRYPTO_memcmp(left.data(), right.data(), left.size());
}

std::string toHex(std::span<const uint8_t> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const auto byte : bytes) {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

std::optional<std::vector<uint8_t>> fromHex(std::string_view text)
{
    if (text.size() % 2)
        return std::nullopt;
    std::vector<uint8_t> bytes(text.size() / 2);
    for (size_t i = 0; i < bytes.size(); ++i) {
        const char* start = text.data() + 2 * i;
        const auto [stop, error] = std::from_chars(start, start + 2, bytes[i], 16);
        if (error != std::errc() || stop != start + 2)
            return std::nullopt;
    }
    return bytes;
}

namespace {

    constexpr std::array<std::string_view, importanceCount> importanceNames { "critical", "high", "normal", "low" };
    constexpr std::array<std::string_view, 3> outcomeNames { "served", "not-run", "unknown" };

    constexpr auto notRun = Outcome::NotRun;
    constexpr auto unknown = Outcome::Unknown;

    // One row for each reason, in the order of the enumeration.
    constexpr std::array<ReasonRow, reasonCount> reasonRows { {
        { Reason::None, "none", 200, Outcome::Served, false, "the request was answered by its backend server" },
        { Reason::BadRequest, "bad-request", 400, notRun, false, "the request could not be read" },
        { Reason::HeadTooLarge, "head-too-large", 431, notRun, false, "request line and headers exceed their limit" },
        { Reason::BodyTooLarge, "body-too-large", 413, unknown, false, "the body exceeds the limit of its route" },
        { Reason::SlowCaller, "slow-caller", 408, unknown, false, "the caller sent its request too slowly" },
        { Reason::MissingKey, "missing-key", 401, notRun, false, "the route needs a key and none came" },
        { Reason::UnknownKey, "unknown-key", 401, notRun, false, "the key is unknown or withdrawn" },
        { Reason::RouteForbidden, "route-forbidden", 403, notRun, false, "the account may not use this route" },
        { Reason::NoRoute, "no-route", 404, notRun, false, "no route matches method and path" },
        { Reason::OverRate, "over-rate", 429, notRun, false, "the account has used up its rate and burst" },
        { Reason::ShedAtEntry, "shed-at-entry", 503, notRun, false, "shed where it entered, for load further down" },
        { Reason::ShedAtGuard, "shed-at-guard", 503, notRun, false, "shed before the backend server, for its load" },
        { Reason::QueueFull, "queue-full", 503, notRun, true, "the queue before the backend server is full" },
        { Reason::QueueTimeout, "queue-timeout", 503, notRun, false, "waited too long before the backend server" },
        { Reason::DeadlineExceeded, "deadline-exceeded", 504, notRun, false, "its time ran out before it started" },
        { Reason::Draining, "draining", 503, notRun, true, "node or backend server is leaving" },
        { Reason::NoServer, "no-server", 503, notRun, false, "no backend server of the service is known" },
        { Reason::NoConfiguration, "no-configuration", 503, notRun, false, "no configuration has been accepted yet" },
        { Reason::StaleConfiguration, "stale-configuration", 503, notRun, false, "the configuration is not confirmed" },
        { Reason::ParentUnknown, "parent-unknown", 403, notRun, false, "the named parent request is not running here" },
        { Reason::ParentCancelled, "parent-cancelled", 503, notRun, false, "the parent request was cancelled" },
        { Reason::CallDepthExceeded, "call-depth-exceeded", 508, notRun, false, "the chain of calls is too deep" },
        { Reason::Duplicate, "duplicate", 409, unknown, false, "a request with this idempotency key came before" },
        { Reason::Barred, "barred", 503, notRun, true, "the guard had already said that it would not run" },
        { Reason::PeerUnreachable, "peer-unreachable", 503, notRun, true, "the chosen node could not be reached" },
        { Reason::BackendUnreachable, "backend-unreachable", 503, notRun, true,
            "the backend server took no connection" },
        { Reason::RetryBudgetSpent, "retry-budget-spent", 503, notRun, false, "no retry is left for this request" },
        { Reason::Timeout, "timeout", 504, unknown, false, "its time ran out while it may have been running" },
        { Reason::ConnectionLost, "connection-lost", 502, unknown, false,
            "the connection was lost while it may have run" },
        { Reason::AnswerCutShort, "answer-cut-short", 502, unknown, false, "the answer ended before it was whole" },
        { Reason::CallerGone, "caller-gone", 499, unknown, false, "the caller left before the answer" },
        { Reason::Internal, "internal", 500, unknown, false, "a fault of the system itself" },
        { Reason::MessageTooOld, "message-too-old", 503, notRun, true,
            "the request was on its way to the backend server's node for too long" },
        { Reason::MemoryFull, "memory-full", 503, notRun, true, "no room to remember another request" },
        { Reason::ServerBusy, "server-busy", 503, notRun, true, "the backend server itself turned it away unrun" },
        { Reason::NodeBusy, "node-busy", 503, notRun, false, "the node where it entered is short of processor time" },
        { Reason::BadFraming, "bad-framing", 400, notRun, false,
            "the transfer coding or length leaves open where the body ends" },
        { Reason::MalformedBody, "malformed-body", 400, unknown, false, "the chunks of the body are malformed" },
    } };

} // namespace

std::string_view toText(Importance importance) { return importanceNames[static_cast<size_t>(importance)]; }

std::string toText(Rank rank) { return std::string(toText(rank.account)) + '/' + std::string(toText(rank.route)); }

std::optional<Importance> importanceFromText(std::string_view text)
{
    const auto found = std::find(importanceNames.begin(), importanceNames.end(), text);
    if (found == importanceNames.end())
        return std::nullopt;
    return static_cast<Importance>(found - importanceNames.begin());
}

std::string_view toText(Outcome outcome) { return outcomeNames[static_cast<size_t>(outcome)]; }

std::span<const ReasonRow> reasonTable() { return reasonRows; }

const ReasonRow& row(Reason reason) { return reasonRows[static_cast<size_t>(reason)]; }

std::optional<Reason> reasonFromText(std::string_view text)
{
    const auto found = std::find_if(
        reasonRows.begin(), reasonRows.end(), [&](const ReasonRow& entry) { return entry.name == text; });
    if (found == reasonRows.end())
        return std::nullopt;
    return found->reason;
}

} // namespace Vanillaridge

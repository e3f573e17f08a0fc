/// Core types shared by every library: time, randomness, identities, outcomes and reasons.
///
/// Nothing here does input or output, and nothing knows how a message is encoded.
#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Vanillaridge {

// --- Time ---------------------------------------------------------------------------------------------------------

using Duration = std::chrono::nanoseconds;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Whole milliseconds of a time, as logs and messages tell it.
constexpr int64_t inMilliseconds(Duration time) { return std::chrono::duration_cast<milliseconds>(time).count(); }

/// Seconds with their fraction, for calculations.
constexpr double inSeconds(Duration time) { return std::chrono::duration<double>(time).count(); }
constexpr Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

/// A clock that also runs while the machine or the process is suspended (CLOCK_BOOTTIME), so that a lease or a token
/// never outlives its term in the eyes of a process that was paused.
struct BootClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;
    static time_point now() noexcept;
};

using Instant = BootClock::time_point;

/// Source of the present. Controllers take it by reference, so that tests decide what time it is.
class Clock {
public:
    virtual ~Clock() = default;
    virtual Instant now() const = 0;
};

/// The machine's own BootClock.
class SystemClock final : public Clock {
public:
    Instant now() const override;
};

/// A clock that moves only when told to. Used by tests and by the `bench` command.
class ManualClock final : public Clock {
public:
    Instant now() const override { return Instant(Duration(m_sinceEpoch.load(std::memory_order_relaxed))); }
    void advance(Duration step) { m_sinceEpoch.fetch_add(step.count(), std::memory_order_relaxed); }

private:
    std::atomic<Duration::rep> m_sinceEpoch { std::chrono::nanoseconds(std::chrono::hours(1)).count() };
};

// --- Randomness ---------------------------------------------------------------------------------------------------

/// Source of random numbers. Controllers take it by reference, so that a seed reproduces every decision.
/// Implementations may be called from several threads at once.
class RandomSource {
public:
    virtual ~RandomSource() = default;
    /// A number drawn evenly from all 64-bit values.
    virtual uint64_t next() = 0;
    /// A number drawn evenly from [0, 1).
    double unit();
    /// A number drawn evenly from [0, bound); 0 when bound is 0.
    uint64_t below(uint64_t bound);
    /// The duration, made longer or shorter by up to the given fraction of itself.
    Duration jittered(Duration, double fraction);
};

/// A RandomSource that gives the same sequence for the same seed.
std::unique_ptr<RandomSource> makeSeededRandom(uint64_t seed);
/// A RandomSource seeded from the operating system.
std::unique_ptr<RandomSource> makeSystemRandom();

// --- Identities ---------------------------------------------------------------------------------------------------

/// Stable 64-bit hash of a text, the same on every node and in every build (SHA-256, first eight bytes).
uint64_t stableHash(std::string_view);
/// Mixes two 64-bit values into one; the same on every node.
uint64_t mixHash(uint64_t, uint64_t);
/// Maps a hash evenly to [0, 1).
double unitOfHash(uint64_t);

/// An IP address and port in the form "address:port".
using Endpoint = std::string;

/// A node, known by the stable hash of its peer endpoint.
struct NodeId {
    uint64_t value { 0 };
    auto operator<=>(const NodeId&) const = default; // NOLINT(modernize-use-nullptr)
    static NodeId of(std::string_view endpoint) { return { stableHash(endpoint) }; }
};

/// Orders successive lives of the node at one endpoint: a restarted node has a greater one.
struct Incarnation {
    uint64_t value { 0 };
    auto operator<=>(const Incarnation&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Random identity of one run of a node's process. Two runs never share one, so knowledge of one run is never taken
/// for knowledge of another.
struct BootId {
    uint64_t value { 0 };
    auto operator<=>(const BootId&) const = default; // NOLINT(modernize-use-nullptr)
};

/// One request as seen by the node where it entered.
struct RequestId {
    NodeId entry;
    BootId boot;
    uint64_t sequence { 0 };
    auto operator<=>(const RequestId&) const = default; // NOLINT(modernize-use-nullptr)
};

/// One try of a request at one guard.
struct AttemptId {
    RequestId request;
    uint32_t number { 0 };
    auto operator<=>(const AttemptId&) const = default; // NOLINT(modernize-use-nullptr)
};

/// "entry-boot-sequence" in hexadecimal: the form a backend server sees.
std::string toText(const RequestId&);
/// Reads what toText wrote; nothing when the text is malformed.
std::optional<RequestId> requestIdFromText(std::string_view);

/// Finds names in hash tables by views of them.
struct NameHash {
    using is_transparent = void;
    size_t operator()(std::string_view name) const { return std::hash<std::string_view>()(name); }
};

using AccountName = std::string;
using ServiceName = std::string;
using RouteName = std::string;
using ZoneName = std::string;

/// SHA-256 of a caller's key. Keys themselves are never stored.
using KeyDigest = std::array<uint8_t, 32>;
KeyDigest digestOfKey(std::string_view key);
/// Compares without a time that depends on where the two differ.
bool equalInConstantTime(std::span<const uint8_t>, std::span<const uint8_t>);
std::string toHex(std::span<const uint8_t>);
/// Reads hexadecimal digits; nothing when the text is malformed.
std::optional<std::vector<uint8_t>> fromHex(std::string_view);

// --- What a request is worth, and how it ends -----------------------------------------------------------------------

/// Importance of a route or request, most important first: what comes later is shed earlier.
enum class Importance : uint8_t { Critical, High, Normal, Low };
constexpr size_t importanceCount = 4;
std::string_view toText(Importance);
std::optional<Importance> importanceFromText(std::string_view);

/// Where a request stands when room is short, the most important first: by the importance that its account declares,
/// and among those of like accounts by that of its route. Without one of the account's own, the route's counts for
/// both.
struct Rank {
    Importance account { Importance::Normal };
    Importance route { Importance::Normal };
    auto operator<=>(const Rank&) const = default; // NOLINT(modernize-use-nullptr)
    /// The rank of one whose account and route are alike, or whose account has no importance of its own.
    static constexpr Rank of(Importance importance) { return { importance, importance }; }
};
constexpr size_t rankCount = importanceCount * importanceCount;
constexpr Rank lowestRank = Rank::of(Importance::Low);
/// From 0, the most important, to rankCount - 1.
constexpr size_t indexOf(Rank rank)
{
    return static_cast<size_t>(rank.account) * importanceCount + static_cast<size_t>(rank.route);
}
/// Both importances, as in "high/critical".
std::string toText(Rank);

/// What the system can truthfully say about a request that it answers itself.
enum class Outcome : uint8_t { Served, NotRun, Unknown };
std::string_view toText(Outcome);

/// Why the system answered a request itself. reasonTable() gives each one's name, status and outcome.
enum class Reason : uint8_t {
    None,
    BadRequest,
    HeadTooLarge,
    BodyTooLarge,
    SlowCaller,
    MissingKey,
    UnknownKey,
    RouteForbidden,
    NoRoute,
    OverRate,
    ShedAtEntry,
    ShedAtGuard,
    QueueFull,
    QueueTimeout,
    DeadlineExceeded,
    Draining,
    NoServer,
    NoConfiguration,
    StaleConfiguration,
    ParentUnknown,
    ParentCancelled,
    CallDepthExceeded,
    Duplicate,
    Barred,
    PeerUnreachable,
    BackendUnreachable,
    RetryBudgetSpent,
    Timeout,
    ConnectionLost,
    AnswerCutShort,
    CallerGone,
    Internal,
    MessageTooOld,
    MemoryFull,
    ServerBusy,
    NodeBusy,
    BadFraming,
    MalformedBody,
    Count,
};
constexpr size_t reasonCount = static_cast<size_t>(Reason::Count);

/// One row of the reasons' table.
struct ReasonRow {
    Reason reason;
    std::string_view name;
    uint16_t httpStatus;
    Outcome outcome;
    /// Whether another server may answer the same request differently right now.
    bool worthAnotherServer;
    std::string_view help;
};

std::span<const ReasonRow> reasonTable();
const ReasonRow& row(Reason);
inline std::string_view toText(Reason reason) { return row(reason).name; }
std::optional<Reason> reasonFromText(std::string_view);

} // namespace Vanillaridge

template <> struct std::hash<Vanillaridge::NodeId> {
    size_t operator()(const Vanillaridge::NodeId& id) const noexcept { return id.value; }
};
template <> struct std::hash<Vanillaridge::RequestId> {
    size_t operator()(const Vanillaridge::RequestId& id) const noexcept
    {
        return Vanillaridge::mixHash(Vanillaridge::mixHash(id.entry.value, id.boot.value), id.sequence);
    }
};
template <> struct std::hash<Vanillaridge::AttemptId> {
    size_t operator()(const Vanillaridge::AttemptId& id) const noexcept
    {
        return Vanillaridge::mixHash(std::hash<Vanillaridge::RequestId>()(id.request), id.number);
    }
};

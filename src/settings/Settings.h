/// One node's settings, read from a TOML file and checked in full before use.
///
/// What the whole fleet has in common stands in the manifest instead, so that it can change while nodes run.
#pragma once

#include "documents/Documents.h"
#include "log/Log.h"
#include "membership/Membership.h"
#include "placement/Placement.h"
#include "quota/Quota.h"

namespace Vanillaridge {

/// Greatest settings file that is read, in bytes.
constexpr size_t settingsLimit = 1 << 20;

/// A text that must not reach a log, a metric or a message. Nothing prints it; whoever needs it says so by name.
class Secret {
public:
    Secret() = default;
    explicit Secret(std::string text)
        : m_text(std::move(text))
    {
    }
    std::string_view reveal() const { return m_text; }
    bool operator==(const Secret&) const = default;

private:
    std::string m_text;
};

/// Where the node is reached, and by whom.
struct AddressSettings {
    /// Other nodes, over TCP and UDP; other nodes are told this very address.
    Endpoint peers;
    /// Callers' HTTP requests.
    Endpoint callers;
    /// The backend server beside the node: its announcements and outgoing calls. Loopback, or the host of `peers` where
    /// the instance's network lets nobody else reach it.
    Endpoint servers;
    /// Metrics, readiness and status.
    Endpoint operators;
    /// Readiness alone, for those who must not see more; empty when it is asked at `operators`.
    Endpoint readiness {};
};

/// Where the manifest comes from: the object store, or one local file for a single instance.
struct StoreSettings {
    /// Address and port of the store; empty when a local manifest is used.
    Endpoint address;
    /// A local manifest file; empty when the store is used.
    std::string manifest;
    /// Longest wait for the answer to one call.
    Duration timeout { seconds(2) };
    /// This node's own limit on calls to the store.
    double callsPerSecond { 4 };
    /// Calls that may be made at once after a quiet time.
    double callBurst { 100 };
};

/// Bounds on what callers can make a node hold, and on how long a stop may take.
struct LimitSettings {
    /// Request line and headers, in bytes.
    uint64_t headSize { 16 << 10 };
    /// Body bytes buffered for one stream in each direction.
    uint64_t streamMemory { 256 << 10 };
    /// Connections open at once from callers, and as many from backend servers; fewer where the descriptors do not
    /// allow for them.
    uint32_t connections { 4000 };
    /// Descriptors that the process may use; 0 for its own limit.
    uint32_t descriptors { 0 };
    /// Bytes of memory that the instance gives the process; 0 for the process's own limit.
    uint64_t memory { 0 };
    /// Time for a caller to send a whole head.
    Duration headTimeout { seconds(10) };
    /// Time for a caller to send or take the next piece of a body.
    Duration bodyTimeout { seconds(10) };
    /// How long a connection without a request is kept.
    Duration idleTimeout { seconds(60) };
    /// Longest time that a planned stop waits for running requests.
    Duration drainLimit { seconds(60) };
    /// Time after SIGTERM at which the process is killed; 0 when nothing kills it.
    Duration stopGrace { 0 };
};

/// Everything that one node is told when it starts.
struct Settings {
    AddressSettings addresses;
    ZoneName zone;
    /// Service of the backend server beside the node; empty when it need not be known beforehand.
    ServiceName service;
    /// Time between two announcements of the backend server, where these do not say how long they hold.
    Duration announcementPeriod { milliseconds(1500) };
    /// Peer endpoints of some other nodes, tried beside those that the store's directory names.
    std::vector<Endpoint> contacts;
    /// Authenticates nodes to each other. Never to be logged.
    Secret secret;
    uint32_t threads { 2 };
    /// Whether availability zones may be evacuated by an object in the store.
    bool zoneEvacuation { false };
    /// How a backend server is chosen for a request.
    PlacementStrategy placement { PlacementStrategy::TwoChoices };
    LogLevel logLevel { LogLevel::Info };
    LogLimits logLimits;
    StoreSettings store;
    LimitSettings limits;
    /// How tokens are created and handed on.
    QuotaSettings quota;
    /// Timings of the membership protocol.
    MembershipSettings membership;
};

using SettingsResult = Checked<Settings>;

/// Reads and checks settings. Files that they name are taken relative to `folder`, and the secret's file is read.
SettingsResult checkSettings(std::string_view text, std::string_view fileName, const std::string& folder = ".");
/// Reads and checks a settings file; a file that cannot be read is a problem like any other.
SettingsResult loadSettings(const std::string& path);

/// Host and port of an "ip:port" or "[ip]:port" by number; nothing when it is malformed.
std::optional<std::pair<std::string, uint16_t>> splitEndpoint(std::string_view);

} // namespace Vanillaridge

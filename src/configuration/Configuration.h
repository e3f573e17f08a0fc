/// The configuration in force: what operators declared, already checked and ready for lookups.
///
/// A Configuration never changes once it is built; a node swaps one for the next. Reading and checking manifests is
/// the business of the manifest library.
#pragma once

#include "core/Core.h"

namespace Vanillaridge {

/// Who may call: a tenant with its keys, and what it is owed over all instances together.
struct ClientAccount {
    AccountName name;
    /// Requests per second; 0 for no limit.
    double rate { 0 };
    /// Requests that may come at once after a quiet time.
    double burst { 0 };
    std::vector<KeyDigest> keys;
    /// Goes before the importance of its routes, where it is given.
    std::optional<Importance> importance {};
    bool operator==(const ClientAccount&) const = default;
};

/// One of several services that share a route's requests.
struct RouteShare {
    ServiceName service;
    /// Its part, in proportion to the sum of all weights of the route.
    double weight { 1 };
    bool operator==(const RouteShare&) const = default;
};

/// Which requests go where, and what they are worth.
struct Route {
    RouteName name;
    /// Host that requests name, in lower case and without a port; empty for any.
    std::string host;
    /// HTTP method in capitals; empty for any.
    std::string method;
    /// A path; when it ends in "/*", every path below it.
    std::string path;
    ServiceName service;
    /// Services in place of the one; empty for a route that has just one.
    std::vector<RouteShare> shares;
    Importance importance { Importance::Normal };
    bool idempotent { false };
    /// Open to all: needs no key and counts against no account.
    bool open { false };
    /// The accounts that may use it; empty for all of them.
    std::vector<AccountName> accounts;
    Duration timeout { seconds(10) };
    /// Time within which an answer has its full worth; 0 if none is declared.
    Duration targetLatency { 0 };
    /// Further tries after the first.
    uint32_t retries { 1 };
    /// Bytes.
    uint64_t bodyLimit { 1 << 20 };
    bool operator==(const Route&) const = default;
};

/// A group of like backend servers.
struct Service {
    ServiceName name;
    /// Requests that one backend server can work on at once.
    uint32_t slots { 1 };
    /// Connections that one backend server takes.
    uint32_t connections { 1 };
    /// How long a new backend server takes to reach its full share.
    Duration slowStart { seconds(10) };
    /// Longest wait in the queue before a backend server.
    Duration queueLimit { milliseconds(100) };
    bool operator==(const Service&) const = default;
};

/// What the policy weighs first under overload.
enum class OverloadPolicy : uint8_t { FairnessFirst, GoodputFirst };

/// Settings of the fleet's common behaviour.
struct Policy {
    OverloadPolicy overload { OverloadPolicy::FairnessFirst };
    /// Name of the rate limiting strategy.
    std::string quota { "conserved" };
    /// Retries per first try, over a service as a whole.
    double retryFraction { 0.1 };
    /// Calls in a row that one request may cause.
    uint32_t maximumDepth { 8 };
    /// Retries that one request may cause in its whole tree of calls.
    uint32_t retriesPerRequest { 3 };
    /// How long an accepted configuration may go unconfirmed before keyed requests are refused.
    Duration freshness { seconds(5) };
    /// How long an idempotency key is remembered.
    Duration duplicateMemory { std::chrono::minutes(10) };
    bool operator==(const Policy&) const = default;
};

/// What a configuration is built from.
struct Declarations {
    std::vector<ClientAccount> accounts;
    std::vector<Route> routes;
    std::vector<Service> services;
    Policy policy;
    bool operator==(const Declarations&) const = default;
};

/// The declarations with their lookup tables, under a number that only grows.
class Configuration {
public:
    Configuration(uint64_t number, Declarations);
    ~Configuration();

    uint64_t number() const;
    const Declarations& declarations() const;
    const Policy& policy() const;

    /// The route for host, method and path. Routes that name the host go before those for any; then the longest path
    /// wins, then a named method over any.
    const Route* route(std::string_view host, std::string_view method, std::string_view path) const;
    const Route* routeNamed(std::string_view) const;
    const ClientAccount* account(std::string_view name) const;
    /// The account that the key belongs to, compared in constant time.
    const ClientAccount* accountOfKey(const KeyDigest&) const;
    const Service* service(std::string_view name) const;
    bool mayUse(const Route&, std::string_view account) const;

private:
    struct Tables;
    std::unique_ptr<const Tables> m_tables;
};

using ConfigurationPointer = std::shared_ptr<const Configuration>;

} // namespace Vanillaridge

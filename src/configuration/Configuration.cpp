#include "configuration/Configuration.h"

#include <algorithm>
#include <cstring>
#include <unordered_map>

namespace Vanillaridge {

namespace {

    constexpr std::string_view wildcardSuffix = "/*";

    bool isPrefixPath(std::string_view path) { return path.ends_with(wildcardSuffix); }

    // The part of a path pattern that must match literally.
    std::string_view literalPart(std::string_view path)
    {
        return isPrefixPath(path) ? path.substr(0, path.size() - 1) : path;
    }

    bool methodMatches(const Route& route, std::string_view method)
    {
        return route.method.empty() || route.method == method;
    }

    // Keys are looked up by their first bytes; the whole digest is then compared in constant time.
    uint64_t prefixOf(const KeyDigest& digest)
    {
        uint64_t prefix;
        std::memcpy(&prefix, digest.data(), sizeof(prefix));
        return prefix;
    }

    template <typename Row> std::unordered_map<std::string_view, const Row*> indexByName(std::span<const Row> rows)
    {
        std::unordered_map<std::string_view, const Row*> index;
        for (const auto& row : rows)
            index.emplace(row.name, &row);
        return index;
    }

    template <typename Row>
    const Row* find(const std::unordered_map<std::string_view, const Row*>& index, std::string_view name)
    {
        const auto found = index.find(name);
        return found == index.end() ? nullptr : found->second;
    }

} // namespace

struct Configuration::Tables {
    struct OwnedKey {
        KeyDigest digest;
        const ClientAccount* account;
    };

    Tables(uint64_t number, Declarations&& source)
        : number(number)
        , declarations(std::move(source))
        , accounts(indexByName<ClientAccount>(declarations.accounts))
        , services(indexByName<Service>(declarations.services))
        , routes(indexByName<Route>(declarations.routes))
    {
        for (const auto& account : declarations.accounts) {
            for (const auto& key : account.keys)
                keys.emplace(prefixOf(key), OwnedKey { key, &account });
        }
        for (const auto& route : declarations.routes) {
            auto& host = hosts[route.host];
            auto& table = isPrefixPath(route.path) ? host.prefixes : host.exact;
            table[literalPart(route.path)].push_back(&route);
        }
    }

    using PathTable = std::unordered_map<std::string_view, std::vector<const Route*>>;
    // Routes of one host, or of any.
    struct HostTables {
        PathTable exact;
        PathTable prefixes;
    };

    static const Route* routeAt(const PathTable& table, std::string_view path, std::string_view method)
    {
        const auto found = table.find(path);
        if (found == table.end())
            return nullptr;
        const Route* best = nullptr;
        for (const auto* route : found->second) {
            if (methodMatches(*route, method) && (!best || best->method.empty()))
                best = route;
        }
        return best;
    }

    const Route* routeOfHost(std::string_view host, std::string_view method, std::string_view path) const
    {
        const auto found = hosts.find(host);
        if (found == hosts.end())
            return nullptr;

        // 1. The path itself.
        if (const auto* route = routeAt(found->second.exact, path, method))
            return route;

        // 2. Every prefix that ends in a slash, the longest first.
        for (auto end = path.rfind('/'); end != std::string_view::npos; end = end ? path.rfind('/', end - 1) : end) {
            if (const auto* route = routeAt(found->second.prefixes, path.substr(0, end + 1), method))
                return route;
            if (!end)
                break;
        }
        return nullptr;
    }

    uint64_t number;
    Declarations declarations;
    std::unordered_map<std::string_view, const ClientAccount*> accounts;
    std::unordered_map<std::string_view, const Service*> services;
    std::unordered_map<std::string_view, const Route*> routes;
    std::unordered_multimap<uint64_t, OwnedKey> keys;
    std::unordered_map<std::string_view, HostTables> hosts;
};

Configuration::Configuration(uint64_t number, Declarations declarations)
    : m_tables(std::make_unique<const Tables>(number, std::move(declarations)))
{
}

Configuration::~Configuration() = default;

uint64_t Configuration::number() const { return m_tables->number; }

const Declarations& Configuration::declarations() const { return m_tables->declarations; }

const Policy& Configuration::policy() const { return m_tables->declarations.policy; }

const Route* Configuration::route(std::string_view host, std::string_view method, std::string_view path) const
{
    if (!host.empty()) {
        if (const auto* route = m_tables->routeOfHost(host, method, path))
            return route;
    }
    return m_tables->routeOfHost({}, method, path);
}

const Route* Configuration::routeNamed(std::string_view name) const { return find(m_tables->routes, name); }

const ClientAccount* Configuration::account(std::string_view name) const { return find(m_tables->accounts, name); }

const ClientAccount* Configuration::accountOfKey(const KeyDigest& digest) const
{
    const auto [first, last] = m_tables->keys.equal_range(prefixOf(digest));
    const ClientAccount* owner = nullptr;
    for (auto entry = first; entry != last; ++entry) {
        if (equalInConstantTime(entry->second.digest, digest))
            owner = entry->second.account;
    }
    return owner;
}

const Service* Configuration::service(std::string_view name) const { return find(m_tables->services, name); }

bool Configuration::mayUse(const Route& route, std::string_view account) const
{
    return route.accounts.empty()
        || std::find(route.accounts.begin(), route.accounts.end(), account) != route.accounts.end();
}

} // namespace Vanillaridge

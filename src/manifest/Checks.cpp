#include "manifest/Checks.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>
#include <tuple>

namespace Vanillaridge {

namespace {

    // A burst must hold at least what the rate gives in this time, in seconds: less would refuse requests that come
    // evenly at the rate.
    constexpr double leastBurstTime = 0.1;
    constexpr size_t longestName = 64;
    constexpr double mostWeight = 1e9;

    bool isNameCharacter(char character)
    {
        constexpr std::string_view others = "-_.";
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || others.find(character) != std::string_view::npos;
    }

    // Names end up in headers, metrics and paths of objects, so they keep to few characters.
    template <typename Row> void checkName(const ReadRow<Row>& read)
    {
        const auto& name = read.row.name;
        if (name.empty() || name.size() > longestName || !std::all_of(name.begin(), name.end(), isNameCharacter))
            read.table.report(read.table.place(), fmt::format("{} is not a fit name", inQuotes(name)),
                "1 to 64 letters, digits, '-', '_' or '.'");
    }

    template <typename Row> std::vector<std::string> namesOf(const std::vector<ReadRow<Row>>& rows)
    {
        std::vector<std::string> names;
        for (const auto& read : rows)
            names.push_back(read.row.name);
        return names;
    }

    // Reports a reference to something that the manifest does not declare.
    void checkKnown(std::string_view kind, const std::string& name, std::span<const std::string> known,
        const TableReader& table, Place place)
    {
        if (std::find(known.begin(), known.end(), name) != known.end())
            return;
        const auto nearest = nearestName(name, known);
        table.report(place, fmt::format("unknown {} {}", kind, inQuotes(name)),
            nearest ? inQuotes(*nearest) : fmt::format("the name of a [{}.NAME] of this manifest", kind));
    }

    void checkAccount(const ReadRow<ClientAccount>& read, std::map<KeyDigest, std::string>& owners)
    {
        // 1. Rate and burst fit each other.
        const auto& account = read.row;
        checkName(read);
        const double leastBurst = std::max(1.0, account.rate * leastBurstTime);
        if (account.rate > 0 && account.burst < leastBurst && read.table.has("burst"))
            read.table.report(read.table.place("burst"),
                fmt::format("burst {} is too small for rate {}", account.burst, account.rate),
                fmt::format("burst = {}", leastBurst));

        // 2. Each key belongs to one account, once.
        for (size_t i = 0; i < account.keys.size(); ++i) {
            const auto [owner, added] = owners.emplace(account.keys[i], account.name);
            if (!added)
                read.table.report(read.table.place("keys", i),
                    fmt::format("this key digest already belongs to account {}", inQuotes(owner->second)),
                    "a key of its own for each account, made by `vanillaridge keys`");
        }
    }

    // Why a path cannot stand in a route; empty when it can.
    std::string_view faultOfPath(std::string_view path)
    {
        if (!path.starts_with('/'))
            return "a path begins with '/'";
        const auto star = path.find('*');
        if (star != std::string_view::npos && !(star + 1 == path.size() && path.ends_with("/*")))
            return "'*' may only stand alone at the end of a path, after '/'";
        const auto closed = std::string(path) + '/';
        if (path.find("//") != std::string_view::npos || closed.find("/../") != std::string::npos
            || closed.find("/./") != std::string::npos)
            return "a path has no empty, '.' or '..' parts";
        const auto unfit = [](char character) { return character <= ' ' || character >= 0x7f; };
        if (std::any_of(path.begin(), path.end(), unfit) || path.find_first_of("?#%") != std::string_view::npos)
            return "a path has no spaces, '?', '#', '%' or characters beyond ASCII";
        return {};
    }

    void checkRouteFields(const ReadRow<Route>& read, const Policy& policy)
    {
        const auto& [route, table] = read;
        checkName(read);
        if (const auto fault = faultOfPath(route.path); table.has("path") && !fault.empty())
            table.report(table.place("path"), std::string(fault), "a path such as \"/reports/*\"");
        const auto isCapital = [](char character) { return character >= 'A' && character <= 'Z'; };
        if (!std::all_of(route.method.begin(), route.method.end(), isCapital))
            table.report(table.place("method"), fmt::format("{} is no HTTP method", inQuotes(route.method)),
                "a method in capitals, such as \"GET\"; leave it out for any method");
        if (route.open && table.has("accounts"))
            table.report(table.place("open"), "a route open to all cannot name accounts",
                "either open = true or accounts = [...]");
        if (route.retries > policy.retriesPerRequest && table.has("retries"))
            table.report(table.place("retries"),
                fmt::format("more retries than the policy's retries-per-request ({})", policy.retriesPerRequest),
                fmt::format("retries = {}", policy.retriesPerRequest));
    }

    void checkRouteReferences(
        const ReadRow<Route>& read, std::span<const std::string> services, std::span<const std::string> accounts)
    {
        const auto& [route, table] = read;
        if (route.service.empty() == route.shares.empty())
            table.report(table.place("service"), "a route leads to one service, or to shares of several",
                "either service = \"...\" or shares = [...]");
        if (!route.service.empty())
            checkKnown("service", route.service, services, table, table.place("service"));
        double weights = 0;
        for (size_t i = 0; i < route.shares.size(); ++i) {
            checkKnown("service", route.shares[i].service, services, table, table.place("shares", i));
            weights += route.shares[i].weight;
            if (route.shares[i].weight > mostWeight)
                table.report(table.place("shares", i), "a weight is out of range",
                    fmt::format("a weight from 0 to {}", mostWeight));
        }
        if (!route.shares.empty() && weights <= 0)
            table.report(table.place("shares"), "no share has a weight above 0", "shares = [\"reports:1\"]");
        std::set<std::string> seen;
        for (size_t i = 0; i < route.accounts.size(); ++i) {
            checkKnown("account", route.accounts[i], accounts, table, table.place("accounts", i));
            if (!seen.insert(route.accounts[i]).second)
                table.report(table.place("accounts", i),
                    fmt::format("account {} is named twice", inQuotes(route.accounts[i])), "each account once");
        }
        if (table.has("accounts") && route.accounts.empty())
            table.report(table.place("accounts"), "an empty list of accounts",
                "no \"accounts\" line for all accounts, or the accounts that may use the route");
    }

    void checkRoutesDiffer(const std::vector<ReadRow<Route>>& routes)
    {
        std::map<std::tuple<std::string, std::string, std::string>, std::string> seen;
        for (const auto& [route, table] : routes) {
            const auto [first, added] = seen.emplace(std::tuple(route.host, route.method, route.path), route.name);
            if (!added && !route.path.empty())
                table.report(table.place("path"),
                    fmt::format("same host, method and path as route {}", inQuotes(first->second)),
                    "a different host, method or path, or one route instead of two");
        }
    }

    void checkService(const ReadRow<Service>& read)
    {
        checkName(read);
        if (read.row.connections < read.row.slots && read.table.has("connections"))
            read.table.report(read.table.place("connections"),
                fmt::format("fewer connections ({}) than slots ({})", read.row.connections, read.row.slots),
                fmt::format("connections = {}", read.row.slots));
    }

} // namespace

void checkAcross(const ReadManifest& manifest, const TableReader& root)
{
    // 1. Each table by itself.
    std::map<KeyDigest, std::string> keyOwners;
    for (const auto& account : manifest.accounts)
        checkAccount(account, keyOwners);
    for (const auto& service : manifest.services)
        checkService(service);
    for (const auto& route : manifest.routes)
        checkRouteFields(route, manifest.policy);

    // 2. References between tables.
    const auto services = namesOf(manifest.services);
    const auto accounts = namesOf(manifest.accounts);
    for (const auto& route : manifest.routes)
        checkRouteReferences(route, services, accounts);
    checkRoutesDiffer(manifest.routes);

    // 3. The manifest as a whole: an empty one would take everything out of service.
    if (manifest.services.empty())
        root.report(root.place(), "the manifest declares no service", "at least one [service.NAME]");
    if (manifest.routes.empty())
        root.report(root.place(), "the manifest declares no route", "at least one [route.NAME]");
}

} // namespace Vanillaridge

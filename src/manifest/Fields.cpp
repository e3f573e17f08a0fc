#include "manifest/Fields.h"

#include "quota/Quota.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fmt/format.h>

namespace Vanillaridge {

namespace {

    constexpr std::string_view digestPrefix = "sha256:";
    constexpr double longestName = 64;
    constexpr double longestPath = 1024;
    constexpr double mostRequestsPerSecond = 1e6;
    constexpr double mostKeys = 256;
    constexpr double longestHost = 253;
    constexpr double mostShares = 64;
    constexpr double mostAccounts = 10000;
    constexpr double secondsPerHour = 3600;
    constexpr double oneGibibyte = 1 << 30;

    bool readKey(ClientAccount& account, std::string_view text)
    {
        if (!text.starts_with(digestPrefix))
            return false;
        const auto bytes = fromHex(text.substr(digestPrefix.size()));
        KeyDigest digest;
        if (!bytes || bytes->size() != digest.size())
            return false;
        std::copy(bytes->begin(), bytes->end(), digest.begin());
        account.keys.push_back(digest);
        return true;
    }

    std::vector<std::string> writeKeys(const ClientAccount& account)
    {
        std::vector<std::string> texts;
        for (const auto& key : account.keys)
            texts.push_back(std::string(digestPrefix) + toHex(key));
        return texts;
    }

    bool readImportance(Route& route, std::string_view text)
    {
        const auto importance = importanceFromText(text);
        route.importance = importance.value_or(route.importance);
        return importance.has_value();
    }

    std::string writeImportance(const Route& route) { return std::string(toText(route.importance)); }

    // How an account without an importance of its own says so.
    constexpr std::string_view importanceOfRoute = "route";

    bool readAccountImportance(ClientAccount& account, std::string_view text)
    {
        account.importance = importanceFromText(text);
        return account.importance.has_value() || text == importanceOfRoute;
    }

    std::string writeAccountImportance(const ClientAccount& account)
    {
        return std::string(account.importance ? toText(*account.importance) : importanceOfRoute);
    }

    // "service:weight".
    bool readShare(Route& route, std::string_view text)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string_view::npos)
            return false;
        RouteShare share { ServiceName(text.substr(0, colon)), 0 };
        const auto [end, error] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), share.weight);
        if (error != std::errc() || end != text.data() + text.size() || !(share.weight >= 0)
            || !std::isfinite(share.weight))
            return false;
        route.shares.push_back(std::move(share));
        return true;
    }

    std::vector<std::string> writeShares(const Route& route)
    {
        std::vector<std::string> texts;
        for (const auto& share : route.shares)
            texts.push_back(fmt::format("{}:{}", share.service, share.weight));
        return texts;
    }

    constexpr std::array<std::string_view, 2> overloadNames { "fairness-first", "goodput-first" };

    bool readOverload(Policy& policy, std::string_view text)
    {
        const auto found = std::find(overloadNames.begin(), overloadNames.end(), text);
        if (found == overloadNames.end())
            return false;
        policy.overload = static_cast<OverloadPolicy>(found - overloadNames.begin());
        return true;
    }

    std::string writeOverload(const Policy& policy)
    {
        return std::string(overloadNames[static_cast<size_t>(policy.overload)]);
    }

    bool readQuota(Policy& policy, std::string_view text)
    {
        policy.quota = text;
        const auto names = quotaStrategyNames();
        return std::find(names.begin(), names.end(), text) != names.end();
    }

    std::string writeQuota(const Policy& policy) { return policy.quota; }

    const std::array<Field<ClientAccount>, 4> accountTable { {
        { "rate", &ClientAccount::rate, { 0, mostRequestsPerSecond }, "rate = 50", true },
        { "burst", &ClientAccount::burst, { 0, 10 * mostRequestsPerSecond }, "burst = 100", true },
        { "importance",
            ConvertedText<ClientAccount> { readAccountImportance, writeAccountImportance,
                "\"critical\", \"high\", \"normal\" or \"low\", or \"route\" for that of the route" },
            { 0, longestName }, "importance = \"route\"" },
        { "keys",
            ConvertedList<ClientAccount> {
                readKey, writeKeys, "\"sha256:\" and 64 hexadecimal digits, as `vanillaridge keys` prints them" },
            { 0, mostKeys }, "keys = [\"sha256:...\"]", true },
    } };

    const std::array<Field<Route>, 13> routeTable { {
        { "host", &Route::host, { 0, longestHost }, "host = \"reports.example\"" },
        { "method", &Route::method, { 0, 16 }, "method = \"GET\"" },
        { "path", &Route::path, { 1, longestPath }, "path = \"/reports/*\"", true },
        { "service", &Route::service, { 0, longestName }, "service = \"reports\"" },
        { "shares", ConvertedList<Route> { readShare, writeShares, "the name of a service, ':' and its weight" },
            { 0, mostShares }, "shares = [\"reports:90\", \"archive:10\"]" },
        { "importance",
            ConvertedText<Route> { readImportance, writeImportance, "\"critical\", \"high\", \"normal\" or \"low\"" },
            { 0, longestName }, "importance = \"normal\"" },
        { "idempotent", &Route::idempotent, {}, "idempotent = true" },
        { "open", &Route::open, {}, "open = false" },
        { "accounts", &Route::accounts, { 0, mostAccounts }, "accounts = [\"north\"]" },
        { "timeout", &Route::timeout, { 0.001, secondsPerHour }, "timeout = \"10s\"" },
        { "target-latency", &Route::targetLatency, { 0, secondsPerHour }, "target-latency = \"1s\"" },
        { "retries", &Route::retries, { 0, 10 }, "retries = 1" },
        { "body-limit", &Route::bodyLimit, { 0, 64 * oneGibibyte }, "body-limit = \"1MiB\"" },
    } };

    const std::array<Field<Service>, 4> serviceTable { {
        { "slots", &Service::slots, { 1, 100'000 }, "slots = 100", true },
        { "connections", &Service::connections, { 1, 1'000'000 }, "connections = 750", true },
        { "slow-start", &Service::slowStart, { 0, secondsPerHour }, "slow-start = \"10s\"" },
        { "queue-limit", &Service::queueLimit, { 0, 60 }, "queue-limit = \"100ms\"" },
    } };

    const std::array<Field<Policy>, 7> policyTable { {
        { "overload", ConvertedText<Policy> { readOverload, writeOverload, "\"fairness-first\" or \"goodput-first\"" },
            { 0, longestName }, "overload = \"fairness-first\"" },
        { "quota",
            ConvertedText<Policy> {
                readQuota, writeQuota, "\"conserved\", \"conserved-home\", \"leased-owner\" or \"static-split\"" },
            { 0, longestName }, "quota = \"conserved\"" },
        { "retry-fraction", &Policy::retryFraction, { 0, 1 }, "retry-fraction = 0.1" },
        { "maximum-depth", &Policy::maximumDepth, { 1, 64 }, "maximum-depth = 8" },
        { "retries-per-request", &Policy::retriesPerRequest, { 0, 100 }, "retries-per-request = 3" },
        { "freshness", &Policy::freshness, { 1, secondsPerHour }, "freshness = \"5s\"" },
        { "duplicate-memory", &Policy::duplicateMemory, { 0, 24 * secondsPerHour }, "duplicate-memory = \"10m\"" },
    } };

} // namespace

std::span<const Field<ClientAccount>> accountFields() { return accountTable; }

std::span<const Field<Route>> routeFields() { return routeTable; }

std::span<const Field<Service>> serviceFields() { return serviceTable; }

std::span<const Field<Policy>> policyFields() { return policyTable; }

} // namespace Vanillaridge

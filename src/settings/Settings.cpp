#include "settings/Fields.h"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <filesystem>
#include <map>

namespace Vanillaridge {

namespace {

    constexpr size_t leastSecret = 16;

    // A table of the settings file with the row that it filled, for the checks across fields.
    template <typename Row> struct ReadTable {
        Row row;
        std::optional<TableReader> table;

        // Where a problem with a field belongs.
        void report(std::string_view name, std::string what, std::string writeInstead) const
        {
            if (table)
                table->report(table->place(name), std::move(what), std::move(writeInstead));
        }
        bool has(std::string_view name) const { return table && table->has(name); }
    };

    template <typename Row>
    ReadTable<Row> readTable(TableReader& root, std::string_view name, std::span<const Field<Row>> fields)
    {
        ReadTable<Row> read { {}, root.table(name) };
        if (read.table)
            readFields(*read.table, read.row, fields);
        return read;
    }

    void reportMissingTable(TableReader& root, std::string_view name, std::string example)
    {
        if (!root.has(name))
            root.report(root.place(), "missing table [" + std::string(name) + ']', std::move(example));
    }

    bool isLoopback(std::string_view host) { return host == "::1" || host.starts_with("127."); }

    bool isUnspecified(std::string_view host) { return host == "0.0.0.0" || host == "::"; }

    // Every address is one by number; the node's own ones differ from each other.
    void checkAddresses(const ReadTable<AddressSettings>& addresses)
    {
        // 1. Each by itself.
        const auto peers = splitEndpoint(addresses.row.peers);
        const auto peersHost = peers ? peers->first : std::string();
        std::map<std::string, std::string_view> seen;
        for (const auto& field : addressFields()) {
            const auto& endpoint = addresses.row.*std::get<Endpoint AddressSettings::*>(field.member);
            if (endpoint.empty())
                continue;
            const auto split = splitEndpoint(endpoint);
            if (!split)
                addresses.report(
                    field.name, inQuotes(endpoint) + " is no address and port by number", std::string(field.example));
            else if (field.name == "servers" && !isLoopback(split->first) && split->first != peersHost)
                addresses.report(field.name,
                    "backend servers are trusted, so they connect over loopback or at the host of \"peers\" only",
                    std::string(field.example));
            else if (field.name == "peers" && isUnspecified(split->first))
                addresses.report(
                    field.name, "other nodes cannot connect to " + inQuotes(endpoint), std::string(field.example));

            // 2. Against the others.
            const auto [first, added] = seen.emplace(endpoint, field.name);
            if (!added)
                addresses.report(
                    field.name, "same address as \"" + std::string(first->second) + '"', "a port of its own");
        }
    }

    void checkContacts(const ReadTable<Settings>& node)
    {
        for (size_t i = 0; i < node.row.contacts.size(); ++i) {
            if (!splitEndpoint(node.row.contacts[i]))
                node.table->report(node.table->place("contacts", i),
                    inQuotes(node.row.contacts[i]) + " is no address and port by number",
                    "the peers address of another node, such as \"10.0.0.6:7000\"");
        }
    }

    // The secret from its text or its file; a trailing line end of a file does not count.
    Secret readSecret(const ReadTable<SecretSource>& source, const std::filesystem::path& folder)
    {
        if (!source.table)
            return {};
        if (source.has("text") == source.has("file")) {
            source.report({}, "a secret comes from one place", "either text = \"...\" or file = \"...\"");
            return {};
        }
        if (source.has("text"))
            return Secret(source.row.text);
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<Secret> {
                BOOST_LEAF_AUTO(text, readFile((folder / source.row.file).string(), settingsLimit));
                while (!text.empty() && (text.back() == '\n' || text.back() == '\r'))
                    text.pop_back();
                if (text.size() < leastSecret)
                    source.report("file", "the secret in this file is too short", "at least 16 characters");
                return Secret(std::move(text));
            },
            [&](const FileError& error) {
                source.report("file", error.file + ' ' + error.what, "a file that the node may read");
                return Secret();
            },
            [&] {
                source.report("file", "the secret's file cannot be read", "a file that the node may read");
                return Secret();
            });
    }

    void checkStore(ReadTable<StoreSettings>& store, const std::filesystem::path& folder)
    {
        if (!store.table)
            return;
        if (store.has("address") == store.has("manifest"))
            store.report({}, "the manifest comes from one place", "either address = \"...\" or manifest = \"...\"");
        if (!store.row.address.empty() && !splitEndpoint(store.row.address))
            store.report("address", inQuotes(store.row.address) + " is no address and port by number",
                "address = \"10.0.0.1:9000\"");
        if (!store.row.manifest.empty())
            store.row.manifest = (folder / store.row.manifest).lexically_normal().string();
    }

    // Timings that only work together.
    void checkTimings(const ReadTable<QuotaSettings>& quota, const ReadTable<MembershipSettings>& membership)
    {
        if (quota.row.safetyMargin * 2 > quota.row.leaseTerm)
            quota.report(quota.has("lease-margin") ? "lease-margin" : "lease-term",
                "the margin takes up more than half of the lease's term",
                "lease-margin = " + tomlValue(quota.row.leaseTerm / 4));
        if (quota.row.tokenValidity > quota.row.leaseTerm)
            quota.report("validity", "tokens would outlive the lease that made them",
                "validity = " + tomlValue(quota.row.leaseTerm / 4));
        if (membership.row.directTimeout >= membership.row.probePeriod)
            membership.report(membership.has("probe-timeout") ? "probe-timeout" : "probe-period",
                "a probe must time out within its period",
                "probe-timeout = " + tomlValue(membership.row.probePeriod / 3));
    }

} // namespace

std::optional<std::pair<std::string, uint16_t>> splitEndpoint(std::string_view endpoint)
{
    // 1. Cut at the last colon.
    const auto colon = endpoint.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto portText = endpoint.substr(colon + 1);
    auto host = endpoint.substr(0, colon);

    // 2. The port: 1 to 65535.
    uint16_t port = 0;
    const auto [stop, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (error != std::errc() || stop != portText.data() + portText.size() || !port)
        return std::nullopt;

    // 3. The address, in brackets if it has colons of its own.
    const bool bracketed = host.starts_with('[') && host.ends_with(']');
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    const std::string text(host);
    std::array<uint8_t, sizeof(in6_addr)> parsed;
    if (inet_pton(bracketed ? AF_INET6 : AF_INET, text.c_str(), parsed.data()) != 1)
        return std::nullopt;
    return std::pair(text, port);
}

SettingsResult checkSettings(std::string_view text, std::string_view fileName, const std::string& folder)
{
    // 1. Syntax. Without it, nothing further can be said.
    Document document(text, fileName);
    if (auto problems = document.problems(); !problems.empty())
        return problems;

    // 2. Every field of every table.
    auto root = document.root();
    const auto addresses = readTable(root, "addresses", addressFields());
    const auto node = readTable(root, "node", nodeFields());
    const auto secret = readTable(root, "secret", secretFields());
    auto store = readTable(root, "store", storeFields());
    const auto limits = readTable(root, "limits", limitFields());
    const auto logLimits = readTable(root, "log", logFields());
    const auto quota = readTable(root, "quota", quotaFields());
    const auto membership = readTable(root, "membership", membershipFields());
    root.reportUnknown();
    reportMissingTable(root, "addresses", "[addresses] with peers, callers, servers and operators");
    reportMissingTable(root, "node", "[node] with the zone of this instance");
    reportMissingTable(root, "secret", "[secret] with a text or a file");
    reportMissingTable(root, "store", "[store] with an address, or with a manifest file for a single instance");

    // 3. What lies between fields.
    checkAddresses(addresses);
    checkContacts(node);
    checkStore(store, folder);
    checkTimings(quota, membership);
    auto settings = node.row;
    settings.secret = readSecret(secret, folder);
    if (auto problems = document.problems(); !problems.empty())
        return problems;

    // 4. All of it together.
    settings.addresses = addresses.row;
    settings.store = store.row;
    settings.limits = limits.row;
    settings.logLimits = logLimits.row;
    settings.quota = quota.row;
    settings.membership = membership.row;
    return settings;
}

SettingsResult loadSettings(const std::string& path)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<SettingsResult> {
            BOOST_LEAF_AUTO(text, readFile(path, settingsLimit));
            const auto folder = std::filesystem::path(path).parent_path();
            return checkSettings(text, path, folder.empty() ? "." : folder.string());
        },
        [](const FileError& error) -> SettingsResult {
            return std::vector<Problem> { { error.file, 1, 1, error.what, "the name of a settings file" } };
        },
        [&]() -> SettingsResult {
            return std::vector<Problem> { { path, 1, 1, "cannot be read", "the name of a settings file" } };
        });
}

} // namespace Vanillaridge

#include "settings/Fields.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    constexpr double longestText = 1024;
    constexpr double mostContacts = 100;
    constexpr double secondsPerDay = 86400;
    constexpr double oneKibibyte = 1 << 10;
    constexpr double oneMebibyte = 1 << 20;
    constexpr double oneTebibyte = 1099511627776.0;

    constexpr std::array<std::string_view, 4> levelNames { "error", "warning", "info", "debug" };

    bool readLevel(Settings& settings, std::string_view text)
    {
        const auto found = std::find(levelNames.begin(), levelNames.end(), text);
        if (found == levelNames.end())
            return false;
        settings.logLevel = static_cast<LogLevel>(found - levelNames.begin());
        return true;
    }

    std::string writeLevel(const Settings& settings) { return std::string(toText(settings.logLevel)); }

    bool readPlacement(Settings& settings, std::string_view text)
    {
        const auto strategy = placementStrategyFromText(text);
        settings.placement = strategy.value_or(settings.placement);
        return strategy.has_value();
    }

    std::string writePlacement(const Settings& settings) { return std::string(toText(settings.placement)); }

    const std::array<Field<AddressSettings>, 5> addressTable { {
        { "peers", &AddressSettings::peers, { 1, longestText }, "peers = \"10.0.0.5:7000\"", true },
        { "callers", &AddressSettings::callers, { 1, longestText }, "callers = \"10.0.0.5:8080\"", true },
        { "servers", &AddressSettings::servers, { 1, longestText }, "servers = \"127.0.0.1:8081\"", true },
        { "operators", &AddressSettings::operators, { 1, longestText }, "operators = \"10.0.0.5:8082\"", true },
        { "readiness", &AddressSettings::readiness, { 1, longestText }, "readiness = \"10.0.0.5:8083\"" },
    } };

    const std::array<Field<Settings>, 8> nodeTable { {
        { "zone", &Settings::zone, { 1, 64 }, "zone = \"a\"", true },
        { "service", &Settings::service, { 0, 64 }, "service = \"reports\"" },
        { "announcement-period", &Settings::announcementPeriod, { 0.05, 600 }, "announcement-period = \"1500ms\"" },
        { "contacts", &Settings::contacts, { 0, mostContacts }, "contacts = [\"10.0.0.6:7000\"]" },
        { "threads", &Settings::threads, { 1, 64 }, "threads = 2" },
        { "zone-evacuation", &Settings::zoneEvacuation, {}, "zone-evacuation = false" },
        { "placement",
            ConvertedText<Settings> {
                readPlacement, writePlacement, "\"two-choices\", \"soonest-completion\" or \"pure-random\"" },
            { 1, longestText }, "placement = \"two-choices\"" },
        { "log-level",
            ConvertedText<Settings> { readLevel, writeLevel, "\"error\", \"warning\", \"info\" or \"debug\"" },
            { 1, longestText }, "log-level = \"info\"" },
    } };

    const std::array<Field<LogLimits>, 2> logTable { {
        { "request-lines", &LogLimits::requestLinesPerSecond, { 0, 1e6 }, "request-lines = 50" },
        { "routine-one-in", &LogLimits::routineOneIn, { 0, 1e9 }, "routine-one-in = 128" },
    } };

    const std::array<Field<SecretSource>, 2> secretTable { {
        { "text", &SecretSource::text, { 16, longestText }, "text = \"at least 16 characters\"" },
        { "file", &SecretSource::file, { 1, longestText }, "file = \"secret.txt\"" },
    } };

    const std::array<Field<StoreSettings>, 5> storeTable { {
        { "address", &StoreSettings::address, { 1, longestText }, "address = \"10.0.0.1:9000\"" },
        { "manifest", &StoreSettings::manifest, { 1, longestText }, "manifest = \"manifest.toml\"" },
        { "timeout", &StoreSettings::timeout, { 0.01, 60 }, "timeout = \"2s\"" },
        { "calls-per-second", &StoreSettings::callsPerSecond, { 0.1, 1000 }, "calls-per-second = 2" },
        { "call-burst", &StoreSettings::callBurst, { 1, 1000 }, "call-burst = 20" },
    } };

    const std::array<Field<LimitSettings>, 10> limitTable { {
        { "head-size", &LimitSettings::headSize, { oneKibibyte, oneMebibyte }, "head-size = \"16KiB\"" },
        { "stream-memory", &LimitSettings::streamMemory, { 16 * oneKibibyte, 64 * oneMebibyte },
            "stream-memory = \"256KiB\"" },
        { "connections", &LimitSettings::connections, { 1, 100'000 }, "connections = 4000" },
        { "descriptors", &LimitSettings::descriptors, { 0, 1'048'576 }, "descriptors = 0" },
        { "memory", &LimitSettings::memory, { 0, oneTebibyte }, "memory = \"160MiB\"" },
        { "head-timeout", &LimitSettings::headTimeout, { 0.1, 600 }, "head-timeout = \"10s\"" },
        { "body-timeout", &LimitSettings::bodyTimeout, { 0.1, 600 }, "body-timeout = \"10s\"" },
        { "idle-timeout", &LimitSettings::idleTimeout, { 0.1, 3600 }, "idle-timeout = \"60s\"" },
        { "drain-limit", &LimitSettings::drainLimit, { 0, 3600 }, "drain-limit = \"60s\"" },
        { "stop-grace", &LimitSettings::stopGrace, { 0, 3600 }, "stop-grace = \"6s\"" },
    } };

    const std::array<Field<QuotaSettings>, 4> quotaTable { {
        { "slots", &QuotaSettings::slots, { 1, 4096 }, "slots = 64" },
        { "lease-term", &QuotaSettings::leaseTerm, { 1, secondsPerDay }, "lease-term = \"10m\"" },
        { "lease-margin", &QuotaSettings::safetyMargin, { 0.01, secondsPerDay }, "lease-margin = \"5s\"" },
        { "validity", &QuotaSettings::tokenValidity, { 0.01, 60 }, "validity = \"1s\"" },
    } };

    const std::array<Field<MembershipSettings>, 6> membershipTable { {
        { "probe-period", &MembershipSettings::probePeriod, { 0.01, 60 }, "probe-period = \"1s\"" },
        { "probe-timeout", &MembershipSettings::directTimeout, { 0.001, 60 }, "probe-timeout = \"300ms\"" },
        { "indirect-probes", &MembershipSettings::helpers, { 0, 32 }, "indirect-probes = 3" },
        { "suspicion-factor", &MembershipSettings::suspicionFactor, { 0.5, 100 }, "suspicion-factor = 2" },
        { "digest-period", &MembershipSettings::digestPeriod, { 0.01, 3600 }, "digest-period = \"10s\"" },
        { "dead-memory", &MembershipSettings::tombstoneTerm, { 1, secondsPerDay }, "dead-memory = \"10m\"" },
    } };

} // namespace

std::span<const Field<AddressSettings>> addressFields() { return addressTable; }

std::span<const Field<Settings>> nodeFields() { return nodeTable; }

std::span<const Field<LogLimits>> logFields() { return logTable; }

std::span<const Field<SecretSource>> secretFields() { return secretTable; }

std::span<const Field<StoreSettings>> storeFields() { return storeTable; }

std::span<const Field<LimitSettings>> limitFields() { return limitTable; }

std::span<const Field<QuotaSettings>> quotaFields() { return quotaTable; }

std::span<const Field<MembershipSettings>> membershipFields() { return membershipTable; }

} // namespace Vanillaridge

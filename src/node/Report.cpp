#include "node/Report.h"

#include "log/Log.h"
#include "node/LatencyHistogram.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace Vanillaridge {

namespace json = boost::json;

// --- Metrics --------------------------------------------------------------------------------------------------------

namespace {

    void appendCounters(std::string& text, const Counters& counters)
    {
        for (const auto& entry : counterTable()) {
            text += fmt::format("# HELP vanillaridge_{0}_total {1}\n# TYPE vanillaridge_{0}_total counter\n"
                                "vanillaridge_{0}_total {2}\n",
                entry.name, entry.help, counters.value(entry.counter));
        }
    }

    // One family with a sample for each reason.
    void appendReasons(
        std::string& text, std::string_view family, std::string_view help, const std::function<uint64_t(Reason)>& count)
    {
        text += fmt::format("# HELP vanillaridge_{0} {1}\n# TYPE vanillaridge_{0} counter\n", family, help);
        for (const auto& entry : reasonTable()) {
            if (entry.reason != Reason::None)
                text += fmt::format("vanillaridge_{}{{reason=\"{}\"}} {}\n", family, entry.name, count(entry.reason));
        }
    }

    void appendGauge(std::string& text, std::string_view name, std::string_view help, double value)
    {
        text += fmt::format(
            "# HELP vanillaridge_{0} {1}\n# TYPE vanillaridge_{0} gauge\nvanillaridge_{0} {2}\n", name, help, value);
    }

    void appendLatency(
        std::string& text, std::string_view name, std::string_view help, const LatencyHistogram& histogram)
    {
        text += fmt::format(
            "# HELP vanillaridge_{0}_seconds {1}\n# TYPE vanillaridge_{0}_seconds histogram\n", name, help);
        for (const auto& bin : histogram.bins()) {
            text += fmt::format("vanillaridge_{}_seconds_bucket{{le=\"{:.6f}\"}} {}\n", name,
                std::chrono::duration<double>(bin.upTo).count(), bin.cumulative);
        }
        text += fmt::format("vanillaridge_{0}_seconds_bucket{{le=\"+Inf\"}} {1}\nvanillaridge_{0}_seconds_count {1}\n"
                            "vanillaridge_{0}_seconds_sum {2:.6f}\n",
            name, histogram.count(), std::chrono::duration<double>(histogram.sum()).count());
    }

    // What the guard decides by, for each backend server beside this node.
    void appendGates(std::string& text, Parts& parts)
    {
        std::vector<LoadFeedback> loads;
        std::vector<ServiceName> services;
        parts.board.localServers().forEach(
            [&](const ServiceName& service, const LocalServerRecord&) { services.push_back(service); });
        for (const auto& service : services)
            loads.push_back(parts.control.admission.feedback(service));
        using Value = double (*)(const LoadFeedback&);
        struct GateRow {
            std::string_view name;
            std::string_view help;
            Value value;
        };
        constexpr std::array<GateRow, 4> rows { {
            { "gate_running", "requests at the backend server", [](const auto& load) { return double(load.running); } },
            { "gate_waiting", "requests that wait for it", [](const auto& load) { return double(load.waiting); } },
            { "gate_limit", "requests that may be at it at once", [](const auto& load) { return double(load.limit); } },
            { "gate_shed_level", "what is shed: classes in whole steps",
                [](const auto& load) { return load.shedLevel; } },
        } };
        for (const auto& entry : rows) {
            text += fmt::format("# HELP vanillaridge_{0} {1}\n# TYPE vanillaridge_{0} gauge\n", entry.name, entry.help);
            for (const auto& load : loads)
                text += fmt::format(
                    "vanillaridge_{}{{service=\"{}\"}} {}\n", entry.name, load.service, entry.value(load));
        }
    }

} // namespace

namespace {

    // What the node holds for others, and how much it may.
    void appendBuffers(std::string& text, const BufferBudget& budget)
    {
        using Value = uint64_t (BufferBudget::*)(BufferSide) const;
        struct Row {
            std::string_view name;
            std::string_view help;
            Value value;
        };
        constexpr std::array<Row, 2> rows { {
            { "buffer_bytes", "heads and bodies held", &BufferBudget::held },
            { "buffer_bytes_limit", "heads and bodies that may be held", &BufferBudget::limit },
        } };
        for (const auto& entry : rows) {
            text += fmt::format("# HELP vanillaridge_{0} {1}\n# TYPE vanillaridge_{0} gauge\n", entry.name, entry.help);
            for (const auto side : { BufferSide::Callers, BufferSide::Attempts, BufferSide::Servers })
                text += fmt::format(
                    "vanillaridge_{}{{side=\"{}\"}} {}\n", entry.name, toText(side), (budget.*entry.value)(side));
        }
    }

} // namespace

std::string metricsText(Parts& parts)
{
    auto& board = parts.board;
    std::string text;
    appendCounters(text, board.counters());
    appendReasons(text, "refusals_total", "requests that the system answered itself, by reason",
        [&](Reason reason) { return board.counters().refusals(reason); });
    appendReasons(text, "retries_total", "further tries after the first, by the reason of the one before",
        [&](Reason reason) { return board.counters().retries(reason); });
    appendGauge(text, "loop_lag_seconds", "how late the event loop is, on the average of the last tenths of a second",
        std::chrono::duration<double>(board.lag()).count());
    appendBuffers(text, parts.buffers);
    const auto configuration = board.configuration().inForce();
    appendGauge(text, "configuration_number", "number of the configuration in force",
        configuration ? static_cast<double>(configuration->number()) : 0);
    appendGauge(text, "members", "members that are alive or suspected",
        static_cast<double>(parts.control.membership.liveMembers()));
    appendGauge(text, "running_entries", "requests that entered here and have no answer yet",
        static_cast<double>(board.entries().size()));
    appendGauge(text, "running_attempts", "attempts at backend servers beside this node",
        static_cast<double>(board.attempts().size()));
    appendGauge(text, "remembered_attempts", "attempts whose verdict may still be asked for",
        static_cast<double>(board.verdicts().size()));
    appendGauge(text, "configuration_age_seconds", "time since the configuration was last confirmed",
        inSeconds(parts.control.freshness.age()));
    appendGauge(text, "store_reachable", "whether the store answers those who watch it",
        board.configuration().freshness().storeReachable);
    appendGauge(text, "store_era", "times that the store was restored from a backup, as far as this node knows",
        static_cast<double>(board.configuration().freshness().storeEra));
    appendGauge(text, "watches_store", "whether this node watches the store for changes of the configuration",
        parts.control.dissemination.watching());
    appendGauge(text, "membership_in_doubt", "whether this node judges nobody, since most of its probes fail",
        parts.control.membership.inDoubt());
    appendGauge(text, "event_loop_lag_seconds", "how late the event loop is", inSeconds(parts.loopLag.value()));
    appendGauge(text, "quota_slots_held", "quota slots that this node holds",
        static_cast<double>(parts.control.quota.heldSlots().size()));
    appendGauge(text, "log_lines_dropped", "log lines dropped since the start because nobody read fast enough",
        static_cast<double>(droppedLogLines()));
    appendGauge(text, "log_lines_suppressed", "lines about requests that their bound did not allow since the start",
        static_cast<double>(suppressedRequestLines()));
    appendGates(text, parts);
    appendLatency(
        text, "added_latency", "time requests spent beside their backend server's own", parts.latencies.added);
    appendLatency(text, "request", "time from arrival to end", parts.latencies.whole);
    appendLatency(text, "queue", "time attempts waited before their backend server", parts.latencies.queued);
    appendLatency(text, "server", "time attempts spent at their backend server", parts.latencies.server);
    return text;
}

// --- Status ---------------------------------------------------------------------------------------------------------

namespace {

    std::string_view toText(MemberState state)
    {
        constexpr std::array<std::string_view, 4> names { "alive", "suspect", "left", "dead" };
        return names[static_cast<size_t>(state)];
    }

    json::array membersStatus(Parts& parts)
    {
        json::array members;
        parts.board.members().forEach([&](NodeId, const MemberRecord& member) {
            members.push_back(json::object { { "endpoint", member.said.endpoint }, { "zone", member.said.zone },
                { "state", toText(member.said.state) }, { "incarnation", member.said.incarnation.value } });
        });
        return members;
    }

    json::array serversStatus(Parts& parts)
    {
        json::array servers;
        parts.board.servers().forEach([&](const ServiceName& service, const ServerGroup& group) {
            for (const auto& [node, server] : group) {
                servers.push_back(json::object { { "service", service }, { "node", server.endpoint },
                    { "zone", server.zone }, { "slots", server.announcement.slots },
                    { "draining", server.announcement.draining }, { "outstanding", server.outstanding },
                    { "limit", server.feedback.limit }, { "shedLevel", server.feedback.shedLevel } });
            }
        });
        return servers;
    }

    json::array localServersStatus(Parts& parts)
    {
        std::vector<std::pair<ServiceName, LocalServerRecord>> records;
        parts.board.localServers().forEach([&](const ServiceName& service, const LocalServerRecord& record) {
            records.emplace_back(service, record);
        });
        json::array servers;
        for (const auto& [service, record] : records) {
            const auto load = parts.control.admission.feedback(service);
            servers.push_back(json::object { { "service", service }, { "endpoint", record.endpoint },
                { "slots", record.announcement.slots }, { "draining", record.announcement.draining },
                { "running", load.running }, { "waiting", load.waiting }, { "limit", load.limit },
                { "shedLevel", load.shedLevel } });
        }
        return servers;
    }

    json::object quotaStatus(Parts& parts)
    {
        const auto status = parts.control.quota.status();
        json::array slots;
        for (const auto slot : status.heldSlots)
            slots.push_back(slot);
        json::array accounts;
        for (const auto& account : status.accounts) {
            accounts.push_back(json::object { { "account", account.account }, { "tokens", account.tokens },
                { "demandPerSecond", account.demand }, { "waiting", account.waiting } });
        }
        return { { "strategy", status.strategy }, { "heldSlots", std::move(slots) },
            { "accounts", std::move(accounts) } };
    }

} // namespace

std::string statusText(Parts& parts)
{
    const auto& self = parts.board.self();
    const auto configuration = parts.board.configuration().inForce();
    const auto freshness = parts.board.configuration().freshness();
    json::object status {
        { "node", self.endpoint },
        { "zone", self.zone },
        { "draining", parts.board.draining() },
        { "ready", obstacleToReadiness(parts).empty() },
        { "configuration",
            json::object { { "number", configuration ? configuration->number() : 0 },
                { "newest", freshness.newestNumber },
                { "confirmedMillisecondsAgo", inMilliseconds(parts.control.freshness.age()) },
                { "storeReachable", freshness.storeReachable }, { "storeEra", freshness.storeEra },
                { "servesKeyed", parts.control.freshness.mayServeKeyed() } } },
        { "members", membersStatus(parts) },
        { "servers", serversStatus(parts) },
        { "localServers", localServersStatus(parts) },
        { "quota", quotaStatus(parts) },
    };
    return json::serialize(status) + "\n";
}

std::string obstacleToReadiness(Parts& parts)
{
    if (parts.board.draining())
        return "draining";
    if (!parts.board.configuration().inForce())
        return "no configuration";
    if (!parts.control.freshness.mayServeKeyed())
        return "configuration not confirmed";
    if (parts.control.intake.isBlocked())
        return "no connections accepted";
    return {};
}

} // namespace Vanillaridge

#include "app/Commands.h"
#include "httpcall/HttpCall.h"
#include "settings/Settings.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <fmt/core.h>

namespace Vanillaridge {

namespace {

    namespace Json = boost::json;
    constexpr Duration patience = seconds(5);

    // A value as one would write it in a table.
    std::string cell(const Json::value& value)
    {
        if (value.is_string())
            return value.get_string().c_str();
        if (value.is_double())
            return fmt::format("{:.6g}", value.get_double());
        if (value.is_array()) {
            std::string text;
            for (const auto& entry : value.get_array())
                text.append(text.empty() ? "" : ",").append(cell(entry));
            return text;
        }
        return Json::serialize(value);
    }

    using TableRow = std::vector<std::string>;

    void printTable(std::string_view title, const std::vector<TableRow>& rows)
    {
        std::vector<size_t> widths;
        for (const auto& row : rows) {
            widths.resize(std::max(widths.size(), row.size()));
            for (size_t i = 0; i < row.size(); ++i)
                widths[i] = std::max(widths[i], row[i].size());
        }
        fmt::print("\n{}\n", title);
        for (const auto& row : rows) {
            std::string line = " ";
            for (size_t i = 0; i < row.size(); ++i)
                line += fmt::format(" {:<{}}", row[i], widths[i]);
            line.erase(line.find_last_not_of(' ') + 1);
            fmt::print("{}\n", line);
        }
    }

    // A list of like objects as a table: their names above, one row for each.
    void printObjects(std::string_view title, const Json::array& objects)
    {
        std::vector<TableRow> rows;
        for (const auto& entry : objects) {
            const auto* object = entry.if_object();
            if (!object)
                continue;
            if (rows.empty()) {
                rows.emplace_back();
                for (const auto& member : *object)
                    rows[0].emplace_back(member.key());
            }
            rows.emplace_back();
            for (const auto& member : *object)
                rows.back().push_back(cell(member.value()));
        }
        printTable(fmt::format("{} ({})", title, objects.size()), rows);
    }

    // An object: plain values first, then what lies deeper.
    void printObject(std::string_view title, const Json::object& object)
    {
        const auto isTable = [](const Json::value& value) {
            const auto* array = value.if_array();
            return array && !array->empty() && array->front().is_object();
        };
        std::vector<TableRow> plain;
        for (const auto& member : object) {
            if (!member.value().is_object() && !isTable(member.value()))
                plain.push_back({ std::string(member.key()), cell(member.value()) });
        }
        printTable(title, plain);
        for (const auto& member : object) {
            const std::string name(member.key());
            if (member.value().is_object())
                printObject(name, member.value().get_object());
            else if (isTable(member.value()))
                printObjects(name, member.value().get_array());
        }
    }

    // Asks a node's operators address.
    class StatusCommand final : public Command {
    public:
        void declare(CLI::App& app) override
        {
            app.add_option("--node", m_node, "operators address of a node")->capture_default_str();
            app.add_flag("--json", m_json, "print what the node said as it is");
        }

        ExitCode run() override
        {
            // 1. Ask.
            if (!splitEndpoint(m_node)) {
                fmt::print(stderr, "{} is no address and port; write: 10.0.0.5:8082\n", m_node);
                return ExitCode::Usage;
            }
            const auto text = ask(m_node);
            if (!text) {
                fmt::print(stderr, "no node answers at {}\n", m_node);
                return ExitCode::Failed;
            }

            // 2. Show.
            boost::system::error_code error;
            const auto status = Json::parse(*text, error);
            if (error || !status.is_object()) {
                fmt::print(stderr, "{} answered something else than a status\n", m_node);
                return ExitCode::Failed;
            }
            if (m_json)
                fmt::print("{}\n", Json::serialize(status));
            else
                printObject(fmt::format("node at {}", m_node), status.get_object());
            return ExitCode::Done;
        }

    private:
        static std::optional<std::string> ask(const Endpoint& node)
        {
            boost::asio::io_context context { 1 };
            std::optional<std::string> text;
            callHttp(
                context, node, { HttpQuestion::Method::Get, "/status" }, patience, [&](const HttpCallResult& result) {
                    if (result.answer && result.answer->status == 200)
                        text = result.answer->body;
                });
            context.run();
            return text;
        }

        std::string m_node = "127.0.0.1:8082";
        bool m_json { false };
    };

} // namespace

std::unique_ptr<Command> makeStatusCommand() { return std::make_unique<StatusCommand>(); }

} // namespace Vanillaridge

#include "app/Commands.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <fmt/core.h>

using namespace Vanillaridge;

namespace {

constexpr std::array<CommandRow, 5> commandRows { {
    { "node", "run a node beside a backend server", makeNodeCommand },
    { "check", "check settings or a manifest", makeCheckCommand },
    { "status", "show what a node knows", makeStatusCommand },
    { "keys", "make a key for a client account, and its digest", makeKeysCommand },
    { "bench", "measure decisions, with a signature that tells whether they changed", makeBenchCommand },
} };

} // namespace

int main(int argumentCount, char** arguments)
{
    // A hang-up that comes before the node handles it would end the process; the settings are read after this.
    std::signal(SIGHUP, SIG_IGN);

    // 1. One subcommand for each row.
    CLI::App app { "Overload control for service call graphs", "vanillaridge" };
    app.set_version_flag("--version", "vanillaridge " VANILLARIDGE_VERSION);
    app.require_subcommand(1);
    std::vector<std::pair<CLI::App*, std::unique_ptr<Command>>> commands;
    for (const auto& row : commandRows) {
        auto* subcommand = app.add_subcommand(std::string(row.name), std::string(row.help));
        auto command = row.make();
        command->declare(*subcommand);
        commands.emplace_back(subcommand, std::move(command));
    }

    // 2. The one that was asked for.
    try {
        app.parse(argumentCount, arguments);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? static_cast<int>(ExitCode::Done) : static_cast<int>(ExitCode::Usage);
    }
    for (const auto& [subcommand, command] : commands) {
        if (subcommand->parsed())
            return static_cast<int>(command->run());
    }
    return static_cast<int>(ExitCode::Usage);
}

// The subcommands of the binary: each is a small object that declares its options and runs.
#pragma once

#include "core/Core.h"
#include "documents/Documents.h"

namespace CLI {
class App;
}

namespace Vanillaridge {

// Exit codes, the same for all commands. docs/OPERATIONS.md lists them.
enum class ExitCode : int {
    Done = 0,
    // Could not be done: a file or an address was not to be had.
    Failed = 1,
    // The settings or the manifest have problems, which were printed.
    Problems = 2,
    // The node's drain limit ran out while requests were running.
    DrainLimitReached = 5,
    // The command line was wrong.
    Usage = 64,
};

class Command {
public:
    virtual ~Command() = default;
    // Adds options to the subcommand.
    virtual void declare(CLI::App&) = 0;
    virtual ExitCode run() = 0;
};

// One row for each subcommand.
struct CommandRow {
    std::string_view name;
    std::string_view help;
    std::unique_ptr<Command> (*make)();
};

std::unique_ptr<Command> makeNodeCommand();
std::unique_ptr<Command> makeCheckCommand();
std::unique_ptr<Command> makeStatusCommand();
std::unique_ptr<Command> makeKeysCommand();
std::unique_ptr<Command> makeBenchCommand();

// Prints problems on standard error, one a line.
void printProblems(std::span<const Problem>);

} // namespace Vanillaridge

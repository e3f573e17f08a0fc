#include "app/Commands.h"
#include "node/Node.h"
#include "settings/Settings.h"

#include <CLI/CLI.hpp>

namespace Vanillaridge {

namespace {

    // Runs a node until a signal asks it to stop.
    class NodeCommand final : public Command {
    public:
        void declare(CLI::App& app) override
        {
            app.add_option("--settings", m_settings, "settings file of this node")->required();
        }

        ExitCode run() override
        {
            const auto settings = loadSettings(m_settings);
            if (!settings) {
                printProblems(settings.problems());
                return ExitCode::Problems;
            }
            constexpr std::array<ExitCode, 3> codes { ExitCode::Done, ExitCode::DrainLimitReached, ExitCode::Failed };
            return codes[static_cast<size_t>(runNode(settings.value()))];
        }

    private:
        std::string m_settings;
    };

} // namespace

std::unique_ptr<Command> makeNodeCommand() { return std::make_unique<NodeCommand>(); }

} // namespace Vanillaridge

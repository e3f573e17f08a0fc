#include "app/Commands.h"
#include "node/Node.h"
#include "platform/Platform.h"
#include "settings/Settings.h"

#include <CLI/CLI.hpp>
#include <algorithm>

namespace Vanillaridge {

namespace {

    // Surroundings that a node can be run in. Rows in the order of their names.
    struct IntegrationRow {
        std::string_view name;
        const Integration& (*integration)();
    };
    // Our own dialect and manifests, from a local file or from the platform's store.
    const Integration& ownWithAnyStore()
    {
        static const Integration s_integration { ownDialect(), ownIntegration().readManifest, defaultManifestObject,
            [](boost::asio::io_context& context, const StoreSettings& settings, const Clock& clock,
                RandomSource& random, Counters& counters) {
                const auto open = settings.address.empty() ? ownIntegration().openStore : openPlatformStore;
                return open(context, settings, clock, random, counters);
            } };
        return s_integration;
    }

    constexpr std::array<IntegrationRow, 2> integrations { { { "own", ownWithAnyStore },
        { "platform", platformIntegration } } };

    std::vector<std::string> integrationNames()
    {
        std::vector<std::string> names;
        for (const auto& row : integrations)
            names.emplace_back(row.name);
        return names;
    }

    // Only for names in the table, which the command line sees to.
    const Integration& integrationNamed(std::string_view name)
    {
        return std::find_if(integrations.begin(), integrations.end(), [&](const IntegrationRow& row) {
            return row.name == name;
        })->integration();
    }

    // Runs a node until a signal asks it to stop.
    class NodeCommand final : public Command {
    public:
        void declare(CLI::App& app) override
        {
            app.add_option("--settings", m_settings, "settings file of this node")
                ->envname("VANILLARIDGE_SETTINGS")
                ->required();
            app.add_option("--integration", m_integration, "what the node's surroundings speak")
                ->check(CLI::IsMember(integrationNames()))
                ->capture_default_str();
        }

        ExitCode run() override
        {
            const auto settings = load();
            if (!settings) {
                printProblems(settings.problems());
                return ExitCode::Problems;
            }
            constexpr std::array<ExitCode, 3> codes { ExitCode::Done, ExitCode::DrainLimitReached, ExitCode::Failed };
            return codes[static_cast<size_t>(
                runNode(settings.value(), integrationNamed(m_integration), [this] { return load(); }))];
        }

    private:
        SettingsResult load() const
        {
            auto loaded = loadSettings(m_settings);
            const auto apply = integrationNamed(m_integration).applySurroundings;
            if (!loaded || !apply)
                return loaded;
            auto settings = loaded.value();
            if (auto problems = apply(settings); !problems.empty())
                return problems;
            return settings;
        }

        std::string m_settings;
        std::string m_integration = "own";
    };

} // namespace

std::unique_ptr<Command> makeNodeCommand() { return std::make_unique<NodeCommand>(); }

} // namespace Vanillaridge

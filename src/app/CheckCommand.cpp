#include "app/Commands.h"
#include "manifest/Manifest.h"
#include "settings/Settings.h"

#include <CLI/CLI.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fmt/core.h>

namespace Vanillaridge {

namespace {

    // Checks settings and manifests with the very code that node and apply use.
    class CheckCommand final : public Command {
    public:
        void declare(CLI::App& app) override
        {
            app.add_option("--manifest", m_manifests, "manifest file to check");
            app.add_option("--settings", m_settings, "settings file to check");
            app.require_option(1, 0);
        }

        ExitCode run() override
        {
            std::vector<Problem> problems;
            for (const auto& file : m_manifests)
                checkManifestFile(file, problems);
            for (const auto& file : m_settings) {
                const auto result = loadSettings(file);
                problems.insert(problems.end(), result.problems().begin(), result.problems().end());
                if (result)
                    fmt::print("{}: settings are fine\n", file);
            }
            if (problems.empty())
                return ExitCode::Done;
            printProblems(problems);
            return ExitCode::Problems;
        }

    private:
        static void checkManifestFile(const std::string& file, std::vector<Problem>& problems)
        {
            const auto unreadable = [&](const std::string& what) {
                problems.push_back({ file, 1, 1, what, "the name of a manifest file" });
            };
            boost::leaf::try_handle_all(
                [&]() -> boost::leaf::result<void> {
                    BOOST_LEAF_AUTO(text, readFile(file, manifestLimit));
                    const auto result = checkManifest(text, file);
                    problems.insert(problems.end(), result.problems().begin(), result.problems().end());
                    if (result) {
                        const auto& declared = result.declarations();
                        fmt::print("{}: manifest is fine: {} accounts, {} routes, {} services\n", file,
                            declared.accounts.size(), declared.routes.size(), declared.services.size());
                    }
                    return {};
                },
                [&](const FileError& error) { unreadable(error.what); }, [&] { unreadable("cannot be read"); });
        }

        std::vector<std::string> m_manifests;
        std::vector<std::string> m_settings;
    };

} // namespace

std::unique_ptr<Command> makeCheckCommand() { return std::make_unique<CheckCommand>(); }

} // namespace Vanillaridge

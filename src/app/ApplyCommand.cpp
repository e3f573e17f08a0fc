#include "app/Commands.h"
#include "app/PlatformSession.h"
#include "manifest/Manifest.h"

#include <CLI/CLI.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <cstdlib>
#include <fmt/core.h>

namespace Vanillaridge {

namespace {

    std::string defaultAuthor()
    {
        const char* user = std::getenv("USER");
        return user ? user : "somebody";
    }

    // Checks a manifest and updates the platform's.
    class ApplyCommand final : public Command {
    public:
        void declare(CLI::App& app) override
        {
            app.add_option("manifest", m_file, "manifest file")->required();
            app.add_option("--platform", m_platform.url, "URL of the platform, such as http://10.0.0.1:9000")
                ->required();
            app.add_option("--expected-version", m_expectedVersion,
                "update only if the platform's manifest is at this version; 0 if there must be none");
            app.add_option("--by", m_author, "who applies it, as others are told who lose a race against this update")
                ->capture_default_str();
        }

        ExitCode run() override
        {
            return boost::leaf::try_handle_all(
                [&]() -> boost::leaf::result<ExitCode> {
                    BOOST_LEAF_AUTO(text, readFile(m_file, manifestLimit));
                    const auto result = checkManifest(text, m_file);
                    if (result)
                        return update(text);
                    printProblems(result.problems());
                    return ExitCode::Problems;
                },
                [&](const FileError& error) {
                    fmt::print(stderr, "{} {}\n", error.file, error.what);
                    return ExitCode::Failed;
                },
                [&] {
                    fmt::print(stderr, "{} cannot be read\n", m_file);
                    return ExitCode::Failed;
                });
        }

    private:
        ExitCode update(const std::string& text)
        {
            m_platform.callsPerSecond = 100;
            m_platform.callBurst = 100;
            PlatformSession session(m_platform);
            const auto expected = m_expectedVersion < 0
                ? std::nullopt
                : std::optional<uint64_t>(static_cast<uint64_t>(m_expectedVersion));
            const auto outcome = applyManifest(session, text, m_author, expected);
            return report(outcome);
        }

        static ExitCode report(const ApplyOutcome& outcome)
        {
            // One row for each end, in the order of the enumeration.
            struct EndRow {
                ExitCode code;
                std::string_view text;
            };
            constexpr std::array<EndRow, 5> rows { {
                { ExitCode::Done, "applied: the manifest is on the platform" },
                { ExitCode::Done, "unchanged: the platform has this manifest already" },
                { ExitCode::LostRace, "lost the race: another manifest is on the platform" },
                { ExitCode::Failed, "not applied: the platform could not be reached" },
                { ExitCode::Unknown, "unknown: the update may have taken effect, and could not be read back" },
            } };
            const auto& row = rows[static_cast<size_t>(outcome.end)];
            auto line = std::string(row.text);
            if (outcome.version)
                line += fmt::format(", version {}", outcome.version);
            if (!outcome.author.empty())
                line += fmt::format(", by {}", outcome.author);
            fmt::print(row.code == ExitCode::Done ? stdout : stderr, "{}\n", line);
            return row.code;
        }

        std::string m_file;
        PlatformSettings m_platform;
        int64_t m_expectedVersion { -1 };
        std::string m_author = defaultAuthor();
    };

} // namespace

std::unique_ptr<Command> makeApplyCommand() { return std::make_unique<ApplyCommand>(); }

} // namespace Vanillaridge

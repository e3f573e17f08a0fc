#include "app/Commands.h"
#include "manifest/Manifest.h"

#include <CLI/CLI.hpp>
#include <fmt/core.h>

namespace Vanillaridge {

namespace {

    // A decision to measure: one step gives a number that depends on what was decided.
    struct Benchmark {
        std::string_view name;
        std::function<uint64_t(uint64_t step)> decide;
    };

    constexpr uint32_t accountCount = 200;
    constexpr uint32_t routeCount = 400;
    constexpr uint32_t serviceCount = 50;

    // Declarations of a middling fleet, always the same.
    Declarations exampleDeclarations()
    {
        Declarations declarations;
        for (uint32_t i = 0; i < serviceCount; ++i) {
            Service service;
            service.name = fmt::format("service-{}", i);
            service.slots = 10 + i;
            service.connections = 100 + i;
            declarations.services.push_back(service);
        }
        for (uint32_t i = 0; i < accountCount; ++i) {
            ClientAccount account;
            account.name = fmt::format("account-{}", i);
            account.rate = 1 + i;
            account.burst = 2 + 2 * i;
            account.keys = { digestOfKey(account.name) };
            declarations.accounts.push_back(account);
        }
        for (uint32_t i = 0; i < routeCount; ++i) {
            Route route;
            route.name = fmt::format("route-{}", i);
            route.method = i % 2 ? "GET" : "POST";
            route.path = fmt::format("/part-{}/kind-{}/*", i % 20, i);
            route.service = declarations.services[i % serviceCount].name;
            route.importance = static_cast<Importance>(i % importanceCount);
            declarations.routes.push_back(route);
        }
        return declarations;
    }

    std::string textOf(std::span<const ManifestSection> sections)
    {
        std::string text;
        for (const auto& section : sections)
            text += section.text;
        return text;
    }

    // Runs decisions for a fixed number of steps, and prints their signature and speed.
    class BenchCommand final : public Command {
    public:
        void declare(CLI::App& app) override
        {
            app.add_option("--steps", m_steps, "steps of each benchmark; the signature depends on it")
                ->check(CLI::Range(uint64_t(1), uint64_t(1'000'000'000)))
                ->capture_default_str();
            app.add_option("--seed", m_seed, "seed of the random numbers; the signature depends on it")
                ->capture_default_str();
        }

        ExitCode run() override
        {
            // 1. What the decisions are made on.
            const auto declarations = exampleDeclarations();
            const Configuration configuration(1, declarations);
            const auto manifest = textOf(sectionsOf(declarations));
            const auto random = makeSeededRandom(m_seed);

            // 2. Each in turn. A manifest's check is thousands of times as long as a lookup.
            constexpr uint64_t stepsPerCheck = 20'000;
            uint64_t signature = m_seed;
            signature = mixHash(signature,
                measure({ "route lookup",
                            [&](uint64_t) {
                                const auto i = random->below(routeCount);
                                const auto path = fmt::format("/part-{}/kind-{}/item/{}", i % 20, i, i);
                                const auto* route = configuration.route({}, i % 2 ? "GET" : "POST", path);
                                return route ? stableValue(route->name) : 0;
                            } },
                    m_steps));
            signature = mixHash(signature,
                measure({ "key lookup",
                            [&](uint64_t) {
                                const auto digest
                                    = digestOfKey(fmt::format("account-{}", random->below(2 * accountCount)));
                                const auto* account = configuration.accountOfKey(digest);
                                return account ? stableValue(account->name) : 0;
                            } },
                    m_steps));
            signature = mixHash(signature,
                measure({ "manifest check", [&](uint64_t) { return contentHashOf(splitIntoSections(manifest)); } },
                    std::max<uint64_t>(1, m_steps / stepsPerCheck)));

            // 3. Equal signatures mean equal decisions.
            fmt::print("signature: {:016x}\n", signature);
            return ExitCode::Done;
        }

    private:
        // Cheap, and the same in every build.
        static uint64_t stableValue(std::string_view text)
        {
            uint64_t value = text.size();
            for (const char character : text)
                value = mixHash(value, static_cast<unsigned char>(character));
            return value;
        }

        static uint64_t measure(const Benchmark& benchmark, uint64_t steps)
        {
            uint64_t signature = 0;
            const auto start = std::chrono::steady_clock::now();
            for (uint64_t i = 0; i < steps; ++i)
                signature = mixHash(signature, benchmark.decide(i));
            const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
            fmt::print("{:<16} {:>10} steps {:>14.0f} steps/s  {:016x}\n", benchmark.name, steps,
                static_cast<double>(steps) / std::max(took.count(), 1e-9), signature);
            return signature;
        }

        uint64_t m_steps { 200'000 };
        uint64_t m_seed { 1 };
    };

} // namespace

std::unique_ptr<Command> makeBenchCommand() { return std::make_unique<BenchCommand>(); }

} // namespace Vanillaridge

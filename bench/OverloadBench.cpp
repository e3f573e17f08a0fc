// libraries: admission placement retry
#include "OverloadCases.h"

#include <cstdio>
#include <cstring>

using namespace Vanillaridge;

namespace {

// One row for each contestant, so that baselines stand beside the product's own policy.
void printCase(const OverloadCase& overload, std::span<const Contestant> entrants)
{
    std::printf("\n%s\n  %-18s %8s %9s %9s %8s %8s %7s %8s\n", overload.name.c_str(), "", "goodput", "recovery",
        "critical", "worst", "refused", "wasted", "attempts");
    for (const auto& contestant : entrants) {
        const auto result = runOverload(overload, contestant);
        std::printf("  %-18s %8.3f %8.2fs %9.4f %8.3f %8.4f %7.4f %8.2f\n", contestant.name.c_str(), result.goodput,
            result.recovery, result.critical, result.worstServed, result.inRateRefused, result.wasted,
            result.amplification);
        std::fflush(stdout);
    }
}

// Attempts at the last tier for each request that a caller sends, with and without budgets.
void printRetries()
{
    std::printf("\n== Retries\n  %-44s %8s %10s\n", "", "budget", "no budget");
    for (const auto& overload : retryCases()) {
        const double bounded = runOverload(overload, { .name = "budget" }).amplification;
        const double unbounded
            = runOverload(overload, { .name = "no budget", .retry = RetryStrategy::NoBudget }).amplification;
        std::printf("  %-44s %8.2f %10.2f\n", overload.name.c_str(), bounded, unbounded);
        std::fflush(stdout);
    }
}

} // namespace

// usage: OverloadBench [part of a case's name] [only the first so many contestants]
int main(int argc, char** argv)
{
    const std::string_view wanted = argc > 1 ? argv[1] : "";
    auto entrants = contestants();
    if (argc > 2)
        entrants.resize(std::min(entrants.size(), size_t(std::atoi(argv[2]))));
    if (wanted.empty() || wanted == "retries")
        printRetries();
    for (const auto deployment : { Deployment::SaengChai, Deployment::Altai }) {
        std::printf(
            "\n== %s\n", deployment == Deployment::SaengChai ? "Saeng Chai (fairness first)" : "Altai (goodput first)");
        for (const auto& overload : overloadCases(deployment)) {
            if (overload.name.find(wanted) != std::string::npos)
                printCase(overload, entrants);
        }
    }
}

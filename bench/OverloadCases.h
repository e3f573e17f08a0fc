/// The overload cases that the policy is measured on.
#pragma once

#include "OverloadRun.h"

namespace Vanillaridge {

/// Every attempt at the last tier fails, at low load, so that only retries make more of them.
inline std::vector<OverloadCase> retryCases()
{
    constexpr double load = 0.01;
    std::vector<OverloadCase> cases;
    for (const uint32_t depth : { 1U, 2U, 3U, 4U, 5U, 6U, 7U }) {
        for (const uint32_t hardRetries : { 0U, 5U }) {
            cases.push_back({ .name = "every attempt fails, depth " + std::to_string(depth) + ", hard retries "
                    + std::to_string(hardRetries),
                .depth = depth,
                .before = load,
                .during = load,
                .after = load,
                .warmUp = Duration(0),
                .trigger = seconds(20),
                .rest = Duration(0),
                .hardRetries = hardRetries,
                .failing = true,
                .patience = seconds(3) });
        }
    }
    return cases;
}

/// All cases of one deployment.
inline std::vector<OverloadCase> overloadCases(Deployment deployment)
{
    std::vector<OverloadCase> cases {
        { .name = "twice the load, depth 1" },
        { .name = "twice the load, depth 5", .depth = 5 },
        { .name = "twice the load, depth 7", .depth = 7 },
        { .name = "surge to 3x and back, depth 3", .depth = 3, .during = 3 },
        { .name = "deep service at a tenth, depth 5", .depth = 5, .during = 0.7, .slowness = 10 },
        { .name = "hard retries, depth 3", .depth = 3, .hardRetries = 5 },
        { .name = "overload outlasting its trigger", .depth = 3, .during = 3, .after = 0.9, .hardRetries = 10 },
        { .name = "one account at 5x", .during = 0.8, .excessOfFirstAccount = 5 },
        { .name = "one account at 5x, depth 5", .depth = 5, .during = 0.8, .excessOfFirstAccount = 5 },
        { .name = "one account at 5x, rates enforced, depth 5",
            .depth = 5,
            .during = 0.8,
            .excessOfFirstAccount = 5,
            .ratesEnforced = true },
        { .name = "cold start of a server", .during = 0.6, .coldStart = true },
        { .name = "lying health", .during = 0.6, .lyingServer = true },
        { .name = "silent zone, depth 3", .depth = 3, .during = 0.6, .silentZone = true },
        { .name = "load that fits", .during = 0.9 },
    };
    for (auto& overload : cases)
        overload.deployment = deployment;
    return cases;
}

} // namespace Vanillaridge

#include "app/Commands.h"

#include <fmt/core.h>

namespace Vanillaridge {

void printProblems(std::span<const Problem> problems)
{
    for (const auto& problem : problems)
        fmt::print(stderr, "{}\n", toText(problem));
    fmt::print(stderr, "{} {}\n", problems.size(), problems.size() == 1 ? "problem" : "problems");
}

} // namespace Vanillaridge

#include "store/Store.h"

namespace Vanillaridge {

std::string_view toText(StoreError error)
{
    constexpr std::array<std::string_view, 6> names { "unreachable", "answer-lost", "conflict", "not-found",
        "too-many-calls", "malformed" };
    return names[static_cast<size_t>(error)];
}

} // namespace Vanillaridge

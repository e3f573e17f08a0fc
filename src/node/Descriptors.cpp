#include "node/Descriptors.h"

#include <algorithm>
#include <limits>
#include <sys/resource.h>

namespace Vanillaridge {

namespace {

    constexpr uint64_t callersShare = 2;
    constexpr uint64_t serversShare = 8;
    // Connections to backend servers get three sixteenths.
    constexpr uint64_t backendsParts = 3;
    constexpr uint64_t backendsShare = 16;
    constexpr uint64_t pagesShare = 32;
    // Pages are asked for by a few.
    constexpr uint64_t pagesMost = 64;

    size_t shareOf(uint64_t available, uint64_t share, uint64_t most)
    {
        return static_cast<size_t>(std::clamp<uint64_t>(available / share, 1, std::max<uint64_t>(most, 1)));
    }

} // namespace

DescriptorShares shareDescriptors(uint64_t available, size_t wished)
{
    return { shareOf(available, callersShare, wished), shareOf(available, serversShare, wished),
        shareOf(available, pagesShare, pagesMost), shareOf(available * backendsParts, backendsShare, available) };
}

uint64_t availableDescriptors(uint32_t fromSettings)
{
    rlimit limit {};
    const bool isKnown = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    const uint64_t own = isKnown ? limit.rlim_cur : std::numeric_limits<uint64_t>::max();
    return fromSettings ? std::min<uint64_t>(own, fromSettings) : own;
}

} // namespace Vanillaridge

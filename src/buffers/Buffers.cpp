#include "buffers/Buffers.h"

#include <algorithm>
#include <sys/resource.h>
#include <unistd.h>

namespace Vanillaridge {

namespace {

    // Heads and bodies may take up a fifth of the instance's memory. The rest is for the program, for control (32 MB at
    // the design size), for connections, and for what the allocator does not reuse at once.
    constexpr uint64_t memoryShare = 5;
    // Parts of the sides, in sixteenths, in the order of BufferSide.
    constexpr std::array<uint64_t, bufferSideCount> partsOfSides { 8, 6, 2 };
    constexpr uint64_t allParts = 16;
    constexpr uint64_t shortageShare = 8;

    constexpr std::array<std::string_view, bufferSideCount> sideNames { "callers", "attempts", "servers" };

} // namespace

std::string_view toText(BufferSide side) { return sideNames[static_cast<size_t>(side)]; }

BufferBudget::BufferBudget(uint64_t total)
{
    for (size_t i = 0; i < bufferSideCount; ++i)
        m_parts[i].limit = total / allParts * partsOfSides[i];
}

uint64_t BufferBudget::limit(BufferSide side) const { return m_parts[static_cast<size_t>(side)].limit; }

uint64_t BufferBudget::held(BufferSide side) const
{
    return m_parts[static_cast<size_t>(side)].held.load(std::memory_order_relaxed);
}

bool BufferBudget::isShort(BufferSide side) const { return held(side) > limit(side) - limit(side) / shortageShare; }

uint64_t BufferBudget::takePeak()
{
    const auto peak = m_peak.exchange(0, std::memory_order_relaxed);
    notePeak();
    return peak;
}

bool BufferBudget::take(BufferSide side, uint64_t bytes)
{
    auto& part = m_parts[static_cast<size_t>(side)];
    auto held = part.held.load(std::memory_order_relaxed);
    do {
        if (bytes > part.limit || held > part.limit - bytes)
            return false;
    } while (!part.held.compare_exchange_weak(held, held + bytes, std::memory_order_relaxed));
    notePeak();
    return true;
}

void BufferBudget::force(BufferSide side, uint64_t bytes)
{
    m_parts[static_cast<size_t>(side)].held.fetch_add(bytes, std::memory_order_relaxed);
    notePeak();
}

void BufferBudget::giveBack(BufferSide side, uint64_t bytes)
{
    m_parts[static_cast<size_t>(side)].held.fetch_sub(bytes, std::memory_order_relaxed);
}

uint64_t BufferBudget::heldInAll() const
{
    uint64_t total = 0;
    for (const auto& part : m_parts)
        total += part.held.load(std::memory_order_relaxed);
    return total;
}

void BufferBudget::notePeak()
{
    const auto held = heldInAll();
    auto peak = m_peak.load(std::memory_order_relaxed);
    while (held > peak && !m_peak.compare_exchange_weak(peak, held, std::memory_order_relaxed)) { }
}

BufferHold::BufferHold(BufferBudget* budget, BufferSide side)
    : m_budget(budget)
    , m_side(side)
{
}

BufferHold::~BufferHold() { force(0); }

bool BufferHold::resize(uint64_t bytes)
{
    const auto before = this->bytes();
    if (m_budget && bytes > before && !m_budget->take(m_side, bytes - before))
        return false;
    if (m_budget && bytes < before)
        m_budget->giveBack(m_side, before - bytes);
    m_bytes.store(bytes, std::memory_order_relaxed);
    return true;
}

void BufferHold::force(uint64_t bytes)
{
    const auto before = this->bytes();
    if (m_budget && bytes > before)
        m_budget->force(m_side, bytes - before);
    if (m_budget && bytes < before)
        m_budget->giveBack(m_side, before - bytes);
    m_bytes.store(bytes, std::memory_order_relaxed);
}

namespace {

    struct ProcessLimit {
        decltype(RLIMIT_AS) resource;
        MemorySource source;
    };
    constexpr std::array<ProcessLimit, 2> processLimits { {
        { RLIMIT_AS, MemorySource::AddressSpaceLimit },
        { RLIMIT_DATA, MemorySource::DataLimit },
    } };

    constexpr std::array<std::string_view, 5> memorySourceNames { "setting", "default", "address-space-limit",
        "data-limit", "machine" };

} // namespace

std::string_view toText(MemorySource source) { return memorySourceNames[static_cast<size_t>(source)]; }

MemoryBound instanceMemory(uint64_t setting)
{
    auto bound = setting ? MemoryBound { setting, MemorySource::Setting }
                         : MemoryBound { defaultInstanceMemory, MemorySource::Default };
    const auto lower = [&](uint64_t bytes, MemorySource source) {
        if (bytes < bound.bytes)
            bound = { bytes, source };
    };
    for (const auto& [resource, source] : processLimits) {
        rlimit limit {};
        if (getrlimit(resource, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
            lower(limit.rlim_cur, source);
    }
    const auto pages = sysconf(_SC_PHYS_PAGES);
    const auto pageBytes = sysconf(_SC_PAGESIZE);
    if (pages > 0 && pageBytes > 0)
        lower(static_cast<uint64_t>(pages) * static_cast<uint64_t>(pageBytes), MemorySource::Machine);
    return bound;
}

uint64_t bufferTotal(const MemoryBound& memory) { return memory.bytes / memoryShare; }

} // namespace Vanillaridge

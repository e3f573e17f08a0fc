/// A bound on the heads and bodies that a node holds for others.
///
/// Accounting only: the owners of the bytes decide what is refused or closed when the bound is reached.
#pragma once

#include "core/Core.h"

#include <atomic>

namespace Vanillaridge {

/// Whom bytes are held for. Each side has a part of its own, so that none starves another.
enum class BufferSide : uint8_t {
    /// Callers' connections: heads, bodies kept to be sent again, answers that callers have not read.
    Callers,
    /// Attempts at the backend server beside this node: bodies that it has not read.
    Attempts,
    /// Connections of the backend server beside this node, over which it makes calls.
    Servers,
};
constexpr size_t bufferSideCount = 3;
std::string_view toText(BufferSide);

/// May be used by several threads.
class BufferBudget {
public:
    /// \param total bytes that all sides may hold together
    explicit BufferBudget(uint64_t total);

    uint64_t limit(BufferSide) const;
    uint64_t held(BufferSide) const;
    uint64_t heldInAll() const;
    /// Whether the side has less than an eighth of its part left.
    bool isShort(BufferSide) const;
    /// The most that was held at once since the last call, over all sides.
    uint64_t takePeak();

private:
    friend class BufferHold;
    bool take(BufferSide, uint64_t bytes);
    void force(BufferSide, uint64_t bytes);
    void giveBack(BufferSide, uint64_t bytes);
    void notePeak();

    struct Part {
        uint64_t limit { 0 };
        std::atomic<uint64_t> held { 0 };
    };
    std::array<Part, bufferSideCount> m_parts;
    std::atomic<uint64_t> m_peak { 0 };
};

/// Bytes held by one connection or attempt, given back with it. One thread at a time changes it; any may read it.
class BufferHold {
public:
    /// \param budget null for no bound
    BufferHold(BufferBudget* budget, BufferSide);
    ~BufferHold();
    BufferHold(const BufferHold&) = delete;
    BufferHold& operator=(const BufferHold&) = delete;

    /// Holds so many bytes from now on; false, and no change, if there is no room for more.
    bool resize(uint64_t bytes);
    /// The same for bytes that have to be taken, even beyond the bound.
    void force(uint64_t bytes);
    uint64_t bytes() const { return m_bytes.load(std::memory_order_relaxed); }

private:
    BufferBudget* const m_budget;
    const BufferSide m_side;
    std::atomic<uint64_t> m_bytes { 0 };
};

/// Memory of an instance that does not say how much it has, in bytes: that of a small one, since the memory of the
/// machine says little about when a process on it is ended.
constexpr uint64_t defaultInstanceMemory = 160'000'000;

/// What a bound on the process's memory follows from.
enum class MemorySource : uint8_t {
    Setting,
    /// Nothing is set.
    Default,
    /// Limits of the process on its address space and on its data.
    AddressSpaceLimit,
    DataLimit,
    Machine,
};
std::string_view toText(MemorySource);

struct MemoryBound {
    uint64_t bytes { 0 };
    MemorySource source { MemorySource::Default };
};

/// The least of the setting, or the default where that is 0, the limits of the process, and the machine's memory.
MemoryBound instanceMemory(uint64_t setting);
/// The part of an instance's memory that heads and bodies may take up, in bytes.
uint64_t bufferTotal(const MemoryBound&);

} // namespace Vanillaridge

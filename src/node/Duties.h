/// What a node does besides serving requests, at regular intervals. Private to the node library.
#pragma once

#include "node/Parts.h"

#include <condition_variable>
#include <oneapi/tbb/task_arena.h>
#include <thread>

namespace Vanillaridge {

/// Runs the controllers' ticks on a thread of its own, so that they never hold up the threads that serve requests. The
/// thread enters a oneTBB arena in a place that is kept for it: on a machine of one core oneTBB has no workers to give.
class Duties {
public:
    explicit Duties(Parts&);
    ~Duties();

    void start();
    /// Starts no further ticks, and waits for the one under way.
    void stop();

private:
    void run();
    /// Sleeps until something is due; false when the duties end.
    bool awaitDue();
    void tickControllers();
    void tickAdmission();
    void reportChanges();
    void trimMemory();
    void reportIntake();

    Parts& m_parts;
    tbb::task_arena m_arena;
    std::thread m_thread;
    std::mutex m_lock;
    std::condition_variable m_wake;
    bool m_stopped { false };
    Instant m_nextControllers;
    uint64_t m_ticks { 0 };
    /// The most that buffers held since memory was last given back.
    uint64_t m_bufferPeak { 0 };
    bool m_wasServing { true };
    bool m_wasWatching { false };
    bool m_wasInDoubt { false };
    bool m_wasRefusingConnections { false };
    std::vector<uint32_t> m_heldSlots;
};

} // namespace Vanillaridge

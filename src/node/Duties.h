/// What a node does besides serving requests, at regular intervals. Private to the node library.
#pragma once

#include "node/Parts.h"

#include <boost/asio/steady_timer.hpp>
#include <oneapi/tbb/task_arena.h>
#include <oneapi/tbb/task_group.h>

namespace Vanillaridge {

/// Runs the controllers' ticks on a oneTBB arena, so that they never hold up the threads that serve requests.
class Duties {
public:
    explicit Duties(Parts&);

    void start();
    /// Starts no further ticks, and waits for those under way.
    void stop();

private:
    Task<void> repeat(Duration period, void (Duties::*tick)(), std::atomic<bool>& running);
    void run(void (Duties::*tick)(), std::atomic<bool>& running);
    void tickControllers();
    void tickAdmission();
    void reportChanges();

    Parts& m_parts;
    tbb::task_arena m_arena;
    tbb::task_group m_tasks;
    std::atomic<bool> m_stopped { false };
    std::atomic<bool> m_controllersRunning { false };
    std::atomic<bool> m_admissionRunning { false };
    uint64_t m_ticks { 0 };
    bool m_wasServing { true };
    std::vector<uint32_t> m_heldSlots;
};

} // namespace Vanillaridge

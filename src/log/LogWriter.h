// Takes log lines from any thread and writes them on one of its own.
#pragma once

#include "log/Log.h"

#include <array>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace Vanillaridge {

// A line is taken or dropped at once; whoever logs never waits for the reader of the log. What is dropped is counted,
// and told in a line of its own as soon as there is room again.
class LogWriter {
public:
    // Bytes of lines that wait to be written.
    static constexpr size_t capacity = 256 * 1024;

    explicit LogWriter(int descriptor);
    ~LogWriter();

    // Less important classes leave room for the others: false when the line was dropped.
    bool put(LogClass, std::string_view line);
    std::array<uint64_t, logClassCount> dropped() const;

private:
    void run();
    void writeWhole(std::string_view text) const;
    std::string droppedLine();

    const int m_descriptor;
    mutable std::mutex m_lock;
    std::condition_variable m_wake;
    std::string m_waiting;
    // Bytes taken by run() and not written yet.
    size_t m_writing { 0 };
    std::array<uint64_t, logClassCount> m_dropped {};
    std::array<uint64_t, logClassCount> m_droppedTold {};
    bool m_stopped { false };
    std::thread m_thread;
};

} // namespace Vanillaridge

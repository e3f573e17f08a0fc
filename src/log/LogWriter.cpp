#include "log/LogWriter.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace Vanillaridge {

namespace {

    // Share of the capacity that lines of a class may fill up to; rows in the order of LogClass.
    constexpr std::array<double, logClassCount> fillLimits { 1.0, 0.85, 0.5 };
    constexpr std::array<std::string_view, logClassCount> classNames { "belief", "failure", "routine" };
    // How long the last lines have to be written when the process ends, in milliseconds: a reader that has stopped
    // reading must not keep the process.
    constexpr int farewellTime = 200;

} // namespace

LogWriter::LogWriter(int descriptor)
    : m_descriptor(descriptor)
    , m_thread([this] { run(); })
{
}

LogWriter::~LogWriter()
{
    {
        std::lock_guard guard(m_lock);
        m_stopped = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

bool LogWriter::put(LogClass kind, std::string_view line)
{
    const auto index = static_cast<size_t>(kind);
    {
        std::lock_guard guard(m_lock);
        const auto filled = static_cast<double>(m_waiting.size() + m_writing + line.size());
        if (filled > fillLimits[index] * static_cast<double>(capacity)) {
            ++m_dropped[index];
            return false;
        }
        m_waiting += line;
    }
    m_wake.notify_one();
    return true;
}

std::array<uint64_t, logClassCount> LogWriter::dropped() const
{
    std::lock_guard guard(m_lock);
    return m_dropped;
}

// Empty when nothing was dropped since it was last told. Called with the lock held.
std::string LogWriter::droppedLine()
{
    if (m_dropped == m_droppedTold)
        return {};
    std::string line = "level=warning event=log-lines-dropped";
    for (size_t i = 0; i < logClassCount; ++i)
        line += fmt::format(" {}={}", classNames[i], m_dropped[i] - m_droppedTold[i]);
    m_droppedTold = m_dropped;
    return line + '\n';
}

void LogWriter::run()
{
    std::unique_lock guard(m_lock);
    while (true) {
        const auto hasNews = [this] { return !m_waiting.empty() || m_dropped != m_droppedTold; };
        m_wake.wait(guard, [&] { return m_stopped || hasNews(); });
        if (!hasNews())
            return;
        const auto text = std::exchange(m_waiting, {}) + droppedLine();
        m_writing = text.size();
        guard.unlock();
        writeWhole(text);
        guard.lock();
        m_writing = 0;
    }
}

// Writes as fast as the reader takes it, for as long as the process lives.
void LogWriter::writeWhole(std::string_view text) const
{
    while (!text.empty()) {
        pollfd ready { m_descriptor, POLLOUT, 0 };
        const int found = ::poll(&ready, 1, farewellTime);
        if (found == 0) {
            std::lock_guard guard(m_lock);
            if (m_stopped)
                return;
            continue;
        }
        // A pipe that is ready takes this much without blocking.
        const auto written = ::write(m_descriptor, text.data(), std::min<size_t>(text.size(), PIPE_BUF));
        if (written < 0 && errno != EINTR && errno != EAGAIN)
            return;
        text.remove_prefix(written > 0 ? static_cast<size_t>(written) : 0);
    }
}

} // namespace Vanillaridge

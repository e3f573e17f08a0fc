// Clients that leave many requests short of their end, and what a test checks of the processes that take them. Nothing
// here depends on the speed of the machine.
#pragma once

#include "Fleet.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Vanillaridge {

using SteadyClock = std::chrono::steady_clock;

// Sanitizers take memory of their own for all that the program takes, and much longer; there fewer clients look for
// what else goes wrong.
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
constexpr bool measuresMemory = false;
#else
constexpr bool measuresMemory = true;
#endif

// What every client of a flood sends.
struct Flood {
    std::string name;
    std::string beginning;
    // Repeated until so many bytes have been sent.
    std::string piece;
    size_t bytes { 0 };
    // Bytes that a client sends before the others have their turn; 0 for as many as are taken.
    size_t bytesATurn { 0 };
    // Whether the backend servers stop reading meanwhile.
    bool serversStop { false };
};

// One client of a flood. Its socket stays open until the object goes.
class FloodClient {
public:
    FloodClient(const sockaddr_in& address, const Flood& flood)
        : m_flood(flood)
        , m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        // Answers that are not read must fill the other side's buffers soon.
        constexpr int receiveBytes = 4096;
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
        ::connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    }
    ~FloodClient() { ::close(m_descriptor); }
    FloodClient(const FloodClient&) = delete;

    int descriptor() const { return m_descriptor; }
    bool isDone() const { return m_isDone; }

    // Sends what is taken, as far as its turn goes.
    void sendSome()
    {
        size_t sent = 0;
        while (!m_isDone && (!m_flood.bytesATurn || sent < m_flood.bytesATurn)) {
            const auto text = next();
            if (text.empty()) {
                m_isDone = true;
                return;
            }
            const auto count = ::send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL);
            if (count < 0) {
                m_isDone = errno != EAGAIN && errno != ENOTCONN;
                return;
            }
            sent += static_cast<size_t>(count);
            m_sent += static_cast<size_t>(count);
        }
    }

private:
    std::string_view next() const
    {
        if (m_sent < m_flood.beginning.size())
            return std::string_view(m_flood.beginning).substr(m_sent);
        const auto bodySent = m_sent - m_flood.beginning.size();
        if (bodySent >= m_flood.bytes)
            return {};
        const auto rest = std::string_view(m_flood.piece).substr(bodySent % m_flood.piece.size());
        return rest.substr(0, m_flood.bytes - bodySent);
    }

    const Flood& m_flood;
    int m_descriptor;
    size_t m_sent { 0 };
    bool m_isDone { false };
};

inline sockaddr_in addressOf(const std::string& endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(std::stoul(endpoint.substr(endpoint.rfind(':') + 1))));
    return address;
}

// Sends from all clients until all are done, or none gets on any more.
inline void sendAll(std::vector<std::unique_ptr<FloodClient>>& clients)
{
    constexpr int quietMilliseconds = 500;
    constexpr std::chrono::seconds longest(30);
    const auto end = SteadyClock::now() + longest;
    while (SteadyClock::now() < end) {
        std::vector<pollfd> waiting;
        std::vector<FloodClient*> owners;
        for (const auto& client : clients) {
            if (client->isDone())
                continue;
            waiting.push_back({ client->descriptor(), POLLOUT, 0 });
            owners.push_back(client.get());
        }
        if (waiting.empty() || ::poll(waiting.data(), waiting.size(), quietMilliseconds) <= 0)
            return;
        for (size_t i = 0; i < waiting.size(); ++i) {
            if (waiting[i].revents)
                owners[i]->sendSome();
        }
    }
}

inline size_t openDescriptors(const Process& process)
{
    const auto folder = fmt::format("/proc/{}/fd", process.id());
    return static_cast<size_t>(std::distance(std::filesystem::directory_iterator(folder), {}));
}

// Checks that a process runs and stays within its memory and descriptors, both bounds included.
inline void checkBounds(Process& process, size_t memoryBound, size_t descriptorBound)
{
    BOOST_TEST(process.running());
    const auto peak = process.peakMemory();
    BOOST_TEST_MESSAGE("peak " << peak);
    BOOST_TEST((!measuresMemory || peak <= memoryBound), "peak " << peak);
    BOOST_TEST(openDescriptors(process) <= descriptorBound);
}

} // namespace Vanillaridge

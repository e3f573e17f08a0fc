#include "RawSockets.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace Vanillaridge {

namespace {

    constexpr std::chrono::milliseconds connectLimit(2000);
    constexpr std::chrono::milliseconds acceptPeriod(50);
    constexpr std::string_view headEnd = "\r\n\r\n";
    constexpr std::string_view lineEnd = "\r\n";

    sockaddr_in addressOf(const std::string& endpoint)
    {
        const auto colon = endpoint.rfind(':');
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(std::stoi(endpoint.substr(colon + 1))));
        inet_pton(AF_INET, endpoint.substr(0, colon).c_str(), &address.sin_addr);
        return address;
    }

    bool awaitSocket(int descriptor, short events, SteadyClock::time_point until)
    {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - SteadyClock::now()).count();
        pollfd entry { descriptor, events, 0 };
        return left > 0 && poll(&entry, 1, static_cast<int>(left)) > 0;
    }

    bool isSameName(std::string_view left, std::string_view right)
    {
        return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
    }

} // namespace

std::string RawMessage::header(std::string_view name) const
{
    const auto found = std::find_if(
        headers.begin(), headers.end(), [&](const auto& field) { return isSameName(field.first, name); });
    return found == headers.end() ? std::string() : found->second;
}

int RawMessage::status() const { return start.size() > 9 ? std::atoi(start.c_str() + 9) : 0; }

std::string RawMessage::method() const { return start.substr(0, start.find(' ')); }

std::string RawMessage::target() const
{
    const auto first = start.find(' ');
    return start.substr(first + 1, start.find(' ', first + 1) - first - 1);
}

RawConnection::RawConnection(int descriptor)
    : m_descriptor(descriptor)
{
    fcntl(m_descriptor, F_SETFL, O_NONBLOCK);
    const int on = 1;
    setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

RawConnection::RawConnection(const std::string& endpoint)
    : RawConnection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const auto address = addressOf(endpoint);
    const bool failed = connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0;
    if (failed && errno == EINPROGRESS)
        awaitSocket(m_descriptor, POLLOUT, SteadyClock::now() + connectLimit);
}

RawConnection::~RawConnection() { ::close(m_descriptor); }

bool RawConnection::send(std::string_view bytes, std::chrono::milliseconds limit)
{
    const auto until = SteadyClock::now() + limit;
    while (!bytes.empty()) {
        const auto sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent > 0)
            bytes.remove_prefix(static_cast<size_t>(sent));
        else if (errno != EAGAIN || !awaitSocket(m_descriptor, POLLOUT, until))
            return false;
    }
    return true;
}

bool RawConnection::fill(SteadyClock::time_point until)
{
    char bytes[16384];
    if (m_ended || !awaitSocket(m_descriptor, POLLIN, until))
        return false;
    const auto count = recv(m_descriptor, bytes, sizeof(bytes), 0);
    m_ended = count <= 0;
    m_wasReset = count < 0 && errno == ECONNRESET;
    if (count > 0)
        m_buffer.append(bytes, static_cast<size_t>(count));
    return count > 0;
}

bool RawConnection::fillTo(size_t count, SteadyClock::time_point until)
{
    while (m_buffer.size() < count) {
        if (!fill(until))
            return false;
    }
    return true;
}

std::optional<RawMessage> RawConnection::readHead(std::chrono::milliseconds limit)
{
    const auto until = SteadyClock::now() + limit;
    size_t end;
    while ((end = m_buffer.find(headEnd)) == std::string::npos) {
        if (!fill(until))
            return std::nullopt;
    }
    RawMessage message;
    std::istringstream lines(m_buffer.substr(0, end));
    m_buffer.erase(0, end + headEnd.size());
    for (std::string line; std::getline(lines, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (message.start.empty()) {
            message.start = line;
            continue;
        }
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(
            line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
    }
    return message;
}

void RawConnection::readBody(RawMessage& message, std::chrono::milliseconds limit)
{
    const auto until = SteadyClock::now() + limit;
    if (message.header("Transfer-Encoding").empty()) {
        const auto size = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
        message.whole = fillTo(size, until);
        message.body = m_buffer.substr(0, size);
        m_buffer.erase(0, message.body.size());
        return;
    }
    while (!message.whole) {
        size_t end;
        while ((end = m_buffer.find(lineEnd)) == std::string::npos) {
            if (!fill(until))
                return;
        }
        const auto size = std::strtoul(m_buffer.c_str(), nullptr, 16);
        const auto start = end + lineEnd.size();
        const bool filled = fillTo(start + size + lineEnd.size(), until);
        message.body += m_buffer.substr(start, size);
        if (!filled)
            return;
        m_buffer.erase(0, start + size + lineEnd.size());
        message.whole = !size;
    }
}

std::optional<RawMessage> RawConnection::read(std::chrono::milliseconds limit)
{
    auto message = readHead(limit);
    if (message)
        readBody(*message, limit);
    return message;
}

bool RawConnection::awaitBytes(size_t count, std::chrono::milliseconds limit)
{
    return fillTo(count, SteadyClock::now() + limit);
}

bool RawConnection::awaitEnd(std::chrono::milliseconds limit)
{
    const auto until = SteadyClock::now() + limit;
    while (fill(until))
        m_buffer.clear();
    return m_ended;
}

void RawConnection::finishSending() { ::shutdown(m_descriptor, SHUT_WR); }

void RawConnection::reset()
{
    const linger option { 1, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    ::shutdown(m_descriptor, SHUT_RD);
}

// --- Servers --------------------------------------------------------------------------------------------------------

RawServer::RawServer(Handler handler)
    : m_handler(std::move(handler))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    constexpr int backlog = 128;
    const auto address = addressOf("127.0.0.1:0");
    bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    listen(m_listener, backlog);
    m_acceptor = std::thread([this] { accept(); });
}

RawServer::~RawServer()
{
    m_stopped = true;
    m_acceptor.join();
    for (auto& serving : m_serving)
        serving.thread.join();
    ::close(m_listener);
}

std::string RawServer::endpoint() const
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    return fmt::format("127.0.0.1:{}", ntohs(address.sin_port));
}

void RawServer::accept()
{
    while (!m_stopped) {
        if (!awaitSocket(m_listener, POLLIN, SteadyClock::now() + acceptPeriod))
            continue;
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        joinEnded();
        auto& serving = m_serving.emplace_back();
        serving.thread = std::thread([this, descriptor, &serving] {
            {
                RawConnection connection(descriptor);
                m_handler(connection);
            }
            serving.hasEnded = true;
        });
    }
}

void RawServer::joinEnded()
{
    m_serving.remove_if([](Serving& serving) {
        if (serving.hasEnded)
            serving.thread.join();
        return serving.hasEnded.load();
    });
}

std::string chunkOf(std::string_view bytes) { return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes); }

} // namespace Vanillaridge

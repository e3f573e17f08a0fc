// Blocking sockets that write bytes as given, for callers and backend servers that a library would not let misbehave.
// Every wait has a limit.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace Vanillaridge {

using SteadyClock = std::chrono::steady_clock;

// A request or an answer, read by its framing.
struct RawMessage {
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    // Whether the body ended as its framing says.
    bool whole = false;

    // First header of that name in any case; empty when there is none.
    std::string header(std::string_view name) const;
    // Of an answer; 0 when it has none.
    int status() const;
    std::string method() const;
    std::string target() const;
};

class RawConnection {
public:
    explicit RawConnection(int descriptor);
    // Connects; the first send or read fails if that did not work.
    explicit RawConnection(const std::string& endpoint);
    ~RawConnection();
    RawConnection(const RawConnection&) = delete;

    bool send(std::string_view bytes, std::chrono::milliseconds limit = std::chrono::seconds(20));
    // Nothing at the end of the connection.
    std::optional<RawMessage> readHead(std::chrono::milliseconds limit);
    // The rest of the message; a body without a length or chunks is empty.
    void readBody(RawMessage&, std::chrono::milliseconds limit);
    std::optional<RawMessage> read(std::chrono::milliseconds limit);
    // Waits until so many bytes lie unread; false if they do not come.
    bool awaitBytes(size_t count, std::chrono::milliseconds limit);
    // Whether the other side ends the connection within the limit. What it sends before is dropped.
    bool awaitEnd(std::chrono::milliseconds limit);
    // Whether the other side ended the connection with a reset.
    bool wasReset() const { return m_wasReset; }
    // Sends nothing more, and reads on.
    void finishSending();
    // Ends the connection with a reset.
    void reset();

private:
    bool fill(SteadyClock::time_point until);
    bool fillTo(size_t count, SteadyClock::time_point until);

    int m_descriptor;
    bool m_ended = false;
    bool m_wasReset = false;
    std::string m_buffer;
};

// Accepts connections, and hands each to a function on a thread of its own.
class RawServer {
public:
    using Handler = std::function<void(RawConnection&)>;

    explicit RawServer(Handler);
    // Waits for the handlers, whose own waits are bounded.
    ~RawServer();

    std::string endpoint() const;

private:
    void accept();
    void joinEnded();

    Handler m_handler;
    int m_listener;
    std::atomic<bool> m_stopped { false };
    // A handler on its thread. Those that have ended are joined as others begin: the thread sanitizer allows for only
    // so many that are not.
    struct Serving {
        std::atomic<bool> hasEnded { false };
        std::thread thread {};
    };
    std::list<Serving> m_serving;
    std::thread m_acceptor;
};

// The bytes as one chunk.
std::string chunkOf(std::string_view bytes);

} // namespace Vanillaridge

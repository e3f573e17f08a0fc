/// One connection of a caller, beneath its exchanges: reading, time limits, and whether the caller has left. Private to
/// the http library.
#pragma once

#include "http/HttpMessages.h"

#include <atomic>

namespace Vanillaridge {

/// Socket and buffer outlive each exchange on the connection. Everything but limitPassed() and the flags is used on the
/// strand only.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
    HttpConnection(TcpSocket, const HttpLimits&);

    /// How long the other side may take from now on. A sweep looks at it, since a timer for each step costs more than
    /// the step.
    void limit(Duration);
    void unlimit();
    bool limitPassed(Instant now) const { return now.time_since_epoch().count() >= m_limit.load(); }
    /// Ends what is under way because its time is over. The socket stays open for a last reply.
    void expire();
    bool expired() const { return m_expired; }
    /// The same before the time is over, if the other side is still waited for.
    void expireNow();

    /// Waits for the first byte of the next request, which may already be there. False when the connection has ended.
    Task<bool> awaitRequest();
    /// Ends the connection if it waits for a request of which nothing has come yet.
    void endIfIdle();
    /// While the head of a request is being read.
    void beginHead() { wait(Wait::Head); }
    void endHead() { wait(Wait::Nothing); }
    /// How much it holds for how little its caller has moved while it is waited for, in bytes times seconds; nothing
    /// while it waits for nothing of its caller, holds next to nothing, or has held it for no longer than the grace.
    std::optional<double> burden(Instant now, Duration grace) const;
    /// Bytes that its caller has sent or taken.
    void noteMoved(size_t bytes) { m_moved.fetch_add(bytes, std::memory_order_relaxed); }
    /// Counts the bytes kept for the exchange beside the buffer.
    bool hold(uint64_t bytes);
    void force(uint64_t bytes);
    uint64_t heldBytes() const { return m_hold.bytes(); }
    /// Gives the buffer's memory back where it has grown, once an exchange is over.
    void shrink();

    /// Since when the connection has been idle, so that it can give way to a new one; nothing while it is in use.
    std::optional<Instant> idleSince(Instant now) const;
    /// Closes the connection if it is still idle; whether it was.
    bool giveWay();

    /// Reads on while a request is served: tells whether the caller leaves, and takes the next request's first bytes.
    void readAhead(std::function<void()> callerGone);
    /// The exchange is over: whoever wanted to know whether the caller leaves does so no more.
    void forgetCaller() { m_callerGone = nullptr; }
    /// Whether the caller's side has ended, as far as the machine knows by now.
    bool hasCallerGone();

    /// Reads and drops what the caller still sends for a while: closing with unread bytes would reset the connection
    /// and could destroy a reply on its way.
    Task<void> linger();
    void close();

    const Strand strand;
    TcpSocket socket;
    beast::flat_buffer buffer;
    const HttpLimits limits;
    /// No further request is taken.
    std::atomic<bool> closing { false };

private:
    /// What the other side is waited for.
    enum class Wait : uint8_t { Nothing, Request, Head };

    void wait(Wait);
    bool isWaitedFor() const;
    void takeRead(ErrorCode, size_t bytes);
    size_t dropArrived(ErrorCode&);
    /// Happens when the read under way ends. The read owns it: held by whoever waits, or by the connection, it would
    /// keep both of them when the event loop is gone.
    Event& readEnded() const { return *m_readEnded.lock(); }

    BufferHold m_hold;
    std::atomic<Instant::rep> m_heldSince { 0 };
    std::atomic<uint64_t> m_moved { 0 };
    std::atomic<Instant::rep> m_limit;
    bool m_expired { false };
    bool m_reading { false };
    std::atomic<Wait> m_wait { Wait::Nothing };
    std::atomic<Instant::rep> m_waitsSince { 0 };
    bool m_ended { false };
    std::function<void()> m_callerGone;
    std::weak_ptr<Event> m_readEnded;
};

} // namespace Vanillaridge

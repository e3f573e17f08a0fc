#include "http/HttpConnection.h"

#include <limits>

namespace Vanillaridge {

namespace {

    constexpr Duration lingerLimit = seconds(1);
    constexpr size_t lingerBytes = 256 * 1024;
    // The buffer of a connection between exchanges.
    constexpr size_t idleBufferBytes = 4 * 1024;
    // Ending a connection that holds no more frees too little.
    constexpr uint64_t smallestBurden = 4 * 1024;
    constexpr Instant::rep noLimit = std::numeric_limits<Instant::rep>::max();

} // namespace

HttpConnection::HttpConnection(TcpSocket socket, const HttpLimits& limits)
    : strand(socket.get_executor())
    , socket(std::move(socket))
    , buffer(limits.headBytes + bodyPieceBytes)
    , limits(limits)
    , m_hold(limits.budget, limits.side)
    , m_limit(noLimit)
{
}

void HttpConnection::limit(Duration time) { m_limit = (BootClock::now() + time).time_since_epoch().count(); }

void HttpConnection::unlimit() { m_limit = noLimit; }

bool HttpConnection::hold(uint64_t bytes)
{
    if (!m_hold.bytes()) {
        m_heldSince = BootClock::now().time_since_epoch().count();
        m_moved = 0;
    }
    return m_hold.resize(bytes);
}

void HttpConnection::force(uint64_t bytes)
{
    if (!hold(std::max(bytes, m_hold.bytes())))
        m_hold.force(bytes);
}

void HttpConnection::shrink()
{
    // A read under way writes into the buffer.
    if (!m_reading && buffer.capacity() > idleBufferBytes && buffer.size() < idleBufferBytes)
        buffer.shrink_to_fit();
    m_hold.resize(0);
}

bool HttpConnection::isWaitedFor() const { return m_limit != noLimit && m_wait != Wait::Request; }

void HttpConnection::expireNow()
{
    if (!isWaitedFor())
        return;
    limit(Duration(0));
    expire();
}

std::optional<double> HttpConnection::burden(Instant now, Duration grace) const
{
    const auto held = m_hold.bytes();
    const auto age = now - Instant(Duration(m_heldSince.load()));
    if (held <= smallestBurden || age < grace || !isWaitedFor())
        return std::nullopt;
    return double(held) * inSeconds(age) / double(m_moved.load(std::memory_order_relaxed) + 1);
}

void HttpConnection::expire()
{
    if (!limitPassed(BootClock::now()))
        return;
    unlimit();
    m_expired = true;
    ErrorCode ignored;
    socket.cancel(ignored);
}

Task<bool> HttpConnection::awaitRequest()
{
    if (buffer.size())
        co_return true;
    if (m_ended || (closing && !m_reading))
        co_return false;
    limit(limits.idleTimeout);
    if (!m_reading)
        readAhead({});
    wait(Wait::Request);
    if (closing)
        endIfIdle();
    while (m_reading)
        co_await readEnded().wait();
    wait(Wait::Nothing);
    unlimit();
    co_return !m_ended;
}

void HttpConnection::endIfIdle()
{
    if (m_wait != Wait::Request || peekAt(socket) == SocketState::Readable)
        return;
    ErrorCode ignored;
    socket.cancel(ignored);
}

void HttpConnection::wait(Wait what)
{
    m_waitsSince = BootClock::now().time_since_epoch().count();
    m_wait = what;
}

std::optional<Instant> HttpConnection::idleSince(Instant now) const
{
    const auto what = m_wait.load();
    const Instant since { Duration(m_waitsSince.load()) };
    const bool isIdle = what == Wait::Request || (what == Wait::Head && now - since > limits.headGrace);
    return isIdle ? std::optional(since) : std::nullopt;
}

bool HttpConnection::giveWay()
{
    const bool hasRequest = m_wait == Wait::Request && peekAt(socket) == SocketState::Readable;
    if (m_wait == Wait::Nothing || hasRequest)
        return false;
    close();
    return true;
}

void HttpConnection::readAhead(std::function<void()> callerGone)
{
    m_callerGone = std::move(callerGone);
    if (m_reading || m_ended || buffer.size())
        return;
    m_reading = true;
    const auto ended = std::make_shared<Event>();
    m_readEnded = ended;
    socket.async_read_some(
        buffer.prepare(headPieceBytes), [self = shared_from_this(), ended](ErrorCode error, size_t bytes) {
            self->takeRead(error, bytes);
            ended->set();
        });
}

void HttpConnection::takeRead(ErrorCode error, size_t bytes)
{
    m_reading = false;
    buffer.commit(bytes);
    m_ended = static_cast<bool>(error);
    if (m_ended && m_callerGone)
        std::exchange(m_callerGone, nullptr)();
}

bool HttpConnection::hasCallerGone() { return m_ended || (!buffer.size() && peekAt(socket) == SocketState::Ended); }

// Many connections may linger at once, so none keeps memory for what it drops.
size_t HttpConnection::dropArrived(ErrorCode& error)
{
    std::array<char, bodyPieceBytes> dropped;
    socket.non_blocking(true, error);
    const auto count = error ? 0 : socket.read_some(boost::asio::buffer(dropped), error);
    if (error == boost::asio::error::would_block)
        error = {};
    return count;
}

Task<void> HttpConnection::linger()
{
    ErrorCode error;
    socket.shutdown(Tcp::socket::shutdown_send, error);
    shrink();
    limit(lingerLimit);
    while (m_reading)
        co_await readEnded().wait();
    for (size_t total = 0; !error && !m_ended && total < lingerBytes;) {
        co_await socket.async_wait(TcpSocket::wait_read, redirect_error(useAwaitable, error));
        if (!error)
            total += dropArrived(error);
    }
    unlimit();
}

void HttpConnection::close()
{
    closing = true;
    ErrorCode ignored;
    socket.close(ignored);
}

} // namespace Vanillaridge

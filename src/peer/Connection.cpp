#include "peer/Connection.h"

#include "address/Address.h"
#include "log/Log.h"

#include <algorithm>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <cstring>

namespace Vanillaridge {

using boost::asio::redirect_error;

namespace {

    constexpr size_t readBytes = 16 * 1024;
    // Bytes that wait to be written from which on pieces of bodies wait for their turn.
    constexpr size_t mostUnwrittenBytes = 512 * 1024;
    constexpr Duration watchPeriod = milliseconds(250);

    Nonce freshNonce(RandomSource& random)
    {
        Nonce nonce;
        for (size_t i = 0; i < nonce.size(); i += sizeof(uint64_t)) {
            const uint64_t bits = random.next();
            std::memcpy(nonce.data() + i, &bits, sizeof(bits));
        }
        return nonce;
    }

    Duration stampOf(Instant instant) { return instant.time_since_epoch(); }

    // A stream over a connection; it knows its number there.
    class ConnectionStream final : public QueuedStream {
    public:
        ConnectionStream(std::shared_ptr<Connection> connection, uint64_t number)
            : m_connection(std::move(connection))
            , m_number(number)
        {
        }

        bool send(StreamMessage message) override { return m_connection->send(m_number, message); }

        void close() override
        {
            lose();
            m_connection->closeStream(m_number);
        }

        const Hello& peer() const override { return m_connection->peer(); }

    private:
        Task<bool> awaitRoom() override
        {
            const auto self = shared_from_this();
            while (true) {
                const auto waiter = m_connection->waitForRoom();
                noteRoomWaiter(waiter);
                if (!waiter || hasStopped())
                    co_return !hasStopped();
                co_await waiter->wait();
            }
        }

        void wakeForRoom() override
        {
            std::lock_guard guard(m_waiterLock);
            if (m_roomWaiter)
                m_roomWaiter->set();
        }

        void noteRoomWaiter(std::shared_ptr<Event> waiter)
        {
            std::lock_guard guard(m_waiterLock);
            m_roomWaiter = std::move(waiter);
        }

        std::shared_ptr<Connection> m_connection;
        uint64_t m_number;
        std::mutex m_waiterLock;
        std::shared_ptr<Event> m_roomWaiter;
    };

} // namespace

Hello PeerContext::hello() const
{
    return { board.self().endpoint, board.self().boot, freshNonce(random), protocolVersion };
}

Connection::Connection(std::shared_ptr<PeerContext> peers, PeerSocket socket)
    : m_peers(std::move(peers))
    , m_strand(socket.get_executor())
    , m_socket(std::move(socket))
    , m_watchTimer(m_strand)
    , m_madeAt(m_peers->clock.now())
    , m_usedAt(m_madeAt)
{
}

Connection::Connection(std::shared_ptr<PeerContext> peers, std::optional<BootId> known)
    : m_peers(std::move(peers))
    , m_knownBoot(known)
    , m_strand(boost::asio::make_strand(m_peers->context))
    , m_socket(m_strand)
    , m_watchTimer(m_strand)
    , m_madeAt(m_peers->clock.now())
    , m_usedAt(m_madeAt)
{
}

// --- Beginning ------------------------------------------------------------------------------------------------------

void Connection::startConnecting(Endpoint endpoint)
{
    boost::asio::co_spawn(m_strand, runConnect(shared_from_this(), std::move(endpoint)), boost::asio::detached);
}

void Connection::startAccepting()
{
    boost::asio::co_spawn(m_strand, runAccept(shared_from_this()), boost::asio::detached);
}

Task<void> Connection::runConnect(std::shared_ptr<Connection> self, Endpoint endpoint)
{
    co_await self->connect(endpoint);
}

Task<void> Connection::runAccept(std::shared_ptr<Connection> self) { co_await self->accept(); }

Task<void> Connection::connect(const Endpoint& endpoint)
{
    const auto address = tcpEndpoint(endpoint);
    ErrorCode error = boost::asio::error::invalid_argument;
    if (address) {
        limitBeginning();
        co_await m_socket.async_connect(*address, redirect_error(useAwaitable, error));
    }
    bool shaken = false;
    if (!error)
        shaken = co_await shakeHands();
    if (shaken && peer().endpoint == endpoint) {
        m_peers->board.counters().add(Counter::PeerConnectionsOpened);
        becomeReady();
        startWatching();
        co_await readMessages();
    }
    becomeLost("ended");
}

Task<void> Connection::accept()
{
    const bool shaken = co_await shakeHands();
    if (shaken) {
        m_peers->onAccepted(*this);
        becomeReady();
        startWatching();
        co_await readMessages();
    }
    becomeLost("ended");
}

// Each side sends its Hello at once, and under the keys that both Hellos make a Ready, which ties its clock to ours.
Task<bool> Connection::shakeHands()
{
    // 1. Our Hello.
    ErrorCode error;
    m_socket.set_option(Tcp::no_delay(true), error);
    limitBeginning();
    const Hello own = m_peers->hello();
    m_challengedAt = m_peers->clock.now();
    const auto hello = m_peers->authenticator.sealHello(own);
    co_await boost::asio::async_write(m_socket, boost::asio::buffer(hello), redirect_error(useAwaitable, error));
    if (error)
        co_return false;

    // 2. Theirs, and the session.
    const auto theirs = co_await readHello();
    if (!theirs)
        co_return false;
    auto session = m_peers->authenticator.session(own, *theirs);
    if (!session) {
        m_peers->board.counters().add(Counter::PeerMessagesForged);
        co_return false;
    }
    m_session.emplace(std::move(*session));

    // 3. Our Ready.
    std::string ready;
    if (!m_session->seal(ready, controlStream, Ready { stampOf(m_peers->clock.now()) }))
        co_return false;
    co_await boost::asio::async_write(m_socket, boost::asio::buffer(ready), redirect_error(useAwaitable, error));
    if (error)
        co_return false;

    // 4. Theirs.
    const auto frame = co_await readFrame();
    const auto* answer = frame ? std::get_if<Ready>(&frame->message) : nullptr;
    if (!answer)
        co_return false;
    m_clockOfPeer.emplace(m_challengedAt, m_peers->clock.now(), answer->sentAt);
    m_pingedAt = m_peers->clock.now();
    co_return true;
}

// The timer serves the watch once the connection is ready.
void Connection::limitBeginning()
{
    m_watchTimer.expires_after(m_peers->settings.connectTimeout);
    m_watchTimer.async_wait([weak = weak_from_this()](const ErrorCode& error) {
        const auto self = weak.lock();
        if (self && !error && self->m_state.load() == State::Connecting)
            self->becomeLost("no-handshake");
    });
}

Task<bool> Connection::ready()
{
    const auto self = shared_from_this();
    std::shared_ptr<Waiter> waiter;
    {
        std::lock_guard guard(m_streamsLock);
        if (m_state.load() != State::Connecting)
            co_return m_state.load() == State::Ready;
        waiter = std::make_shared<Waiter>();
        m_waiters.push_back(waiter);
    }
    co_await waiter->wait();
    co_return m_state.load() == State::Ready;
}

void Connection::wake(std::vector<std::shared_ptr<Waiter>> waiters)
{
    for (const auto& waiter : waiters)
        waiter->set();
}

void Connection::becomeReady()
{
    m_heardAt = stampOf(m_peers->clock.now()).count();
    std::vector<std::shared_ptr<Waiter>> waiters;
    {
        std::lock_guard guard(m_streamsLock);
        m_state = State::Ready;
        waiters = std::exchange(m_waiters, {});
    }
    wake(std::move(waiters));
}

bool Connection::isOpen() const
{
    const auto state = m_state.load();
    return state == State::Ready || state == State::Silent;
}

// Gives up the streams that do not wait through silence, and the connection if none is left. The other side learns of
// it once it is heard again.
void Connection::becomeSilent()
{
    std::vector<std::shared_ptr<QueuedStream>> streams;
    {
        std::lock_guard guard(m_streamsLock);
        auto ready = State::Ready;
        if (!m_state.compare_exchange_strong(ready, State::Silent))
            return;
        for (const auto& [number, stream] : m_streams)
            streams.push_back(stream);
    }
    m_peers->board.counters().add(Counter::PeerConnectionsLost);
    size_t left = 0;
    for (const auto& stream : streams) {
        if (stream->noteSilence()) {
            ++left;
            continue;
        }
        stream->send(CancelRequest { Reason::ConnectionLost });
        stream->lose();
    }
    if (!left)
        becomeLost("silent");
}

// A silent connection that is heard again is as good as before.
void Connection::noteHeard()
{
    m_heardAt = stampOf(m_peers->clock.now()).count();
    m_needsLivenessCheck = false;
    auto silent = State::Silent;
    if (m_state.compare_exchange_strong(silent, State::Ready))
        m_unansweredPing.reset();
}

// A reply that was on its way is lost with the connection, and nobody else tells.
void Connection::reportLost(std::string_view why) const
{
    const auto now = m_peers->clock.now();
    log(LogLevel::Info, "peer-connection-lost",
        { { "peer", peer().endpoint }, { "why", why }, { "age-ms", inMilliseconds(now - m_madeAt) },
            { "silent-ms", inMilliseconds(stampOf(now) - Duration(m_heardAt.load())) } });
}

void Connection::becomeLost(std::string_view why)
{
    std::vector<std::shared_ptr<Waiter>> waiters;
    std::unordered_map<uint64_t, std::shared_ptr<QueuedStream>> streams;
    State before;
    {
        std::lock_guard guard(m_streamsLock);
        before = m_state.exchange(State::Lost);
        if (before == State::Lost)
            return;
        waiters = std::exchange(m_waiters, {});
        streams = std::exchange(m_streams, {});
    }
    if (before != State::Connecting)
        reportLost(why);
    if (!streams.empty() && before != State::Silent)
        m_peers->board.counters().add(Counter::PeerConnectionsLost);
    for (const auto& [number, stream] : streams)
        stream->lose();
    wake(std::move(waiters));
    wakeForRoom();
    m_watchTimer.cancel();
    ErrorCode ignored;
    m_socket.close(ignored);
}

void Connection::close(std::string_view why)
{
    boost::asio::post(m_strand, [self = shared_from_this(), why] { self->becomeLost(why); });
}

// A process that shook hands later, under another boot, at the same endpoint: the earlier one is gone.
bool Connection::isOutlivedBy(const Connection& other) const
{
    return isOpen() && m_madeAt < other.m_madeAt && peer().endpoint == other.peer().endpoint
        && peer().boot != other.peer().boot;
}

// What members tell can be older than the connection, so only what they have told since it was made counts.
bool Connection::isOutlivedBy(std::optional<BootId> known) const
{
    return known && known != m_knownBoot && isOpen() && peer().boot != *known;
}

// --- Reading --------------------------------------------------------------------------------------------------------

// Reads until so many bytes are there. What is there moves to the front only when the rest would not fit behind it.
Task<bool> Connection::fill(size_t bytes)
{
    while (m_inputEnd - m_inputStart < bytes) {
        if (m_input.size() - m_inputStart < std::max(bytes, readBytes)) {
            std::copy(m_input.begin() + static_cast<std::ptrdiff_t>(m_inputStart),
                m_input.begin() + static_cast<std::ptrdiff_t>(m_inputEnd), m_input.begin());
            m_inputEnd -= m_inputStart;
            m_inputStart = 0;
            m_input.resize(std::max({ m_input.size(), bytes, 2 * readBytes }));
        }
        ErrorCode error;
        const auto read = co_await m_socket.async_read_some(
            boost::asio::buffer(m_input.data() + m_inputEnd, m_input.size() - m_inputEnd),
            redirect_error(useAwaitable, error));
        m_inputEnd += read;
        if (error)
            co_return false;
    }
    co_return true;
}

namespace {

    void countBroken(Board& board, WireError error)
    {
        const bool forged = error == WireError::BadMac || error == WireError::BadHandshake;
        board.counters().add(forged ? Counter::PeerMessagesForged : Counter::PeerMessagesMalformed);
    }

    // Runs a step that may fail with a WireError, and counts the failure.
    template <typename Value, typename Step> std::optional<Value> counted(Board& board, Step&& step)
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<Value>> {
                BOOST_LEAF_AUTO(value, step());
                return std::optional<Value>(std::move(value));
            },
            [&](WireError error) -> std::optional<Value> {
                countBroken(board, error);
                return std::nullopt;
            },
            [&]() -> std::optional<Value> {
                countBroken(board, WireError::BadValue);
                return std::nullopt;
            });
    }

} // namespace

// Reads until a whole frame is there; the length of its payload, or nothing when none comes.
Task<std::optional<size_t>> Connection::fillFrame()
{
    bool filled = co_await fill(frameHeaderSize);
    if (!filled)
        co_return std::nullopt;
    const auto length = counted<size_t>(m_peers->board, [&] { return payloadSize(frameHeader()); });
    if (!length)
        co_return std::nullopt;
    filled = co_await fill(frameHeaderSize + *length);
    if (!filled)
        co_return std::nullopt;
    co_return length;
}

std::span<const std::byte, frameHeaderSize> Connection::frameHeader() const
{
    return std::span<const std::byte, frameHeaderSize>(&m_input[m_inputStart], frameHeaderSize);
}

// The payload of the frame that is there, which counts as read from now on; its bytes stay until the next reading.
Bytes Connection::takePayload(size_t length)
{
    const Bytes payload(&m_input[m_inputStart + frameHeaderSize], length);
    m_inputStart += frameHeaderSize + length;
    return payload;
}

Task<std::optional<Hello>> Connection::readHello()
{
    const auto length = co_await fillFrame();
    if (!length)
        co_return std::nullopt;
    const auto header = frameHeader();
    const auto payload = takePayload(*length);
    co_return counted<Hello>(m_peers->board, [&] { return m_peers->authenticator.openHello(header, payload); });
}

Task<std::optional<Frame>> Connection::readFrame()
{
    const auto length = co_await fillFrame();
    if (!length)
        co_return std::nullopt;
    const auto header = frameHeader();
    const auto payload = takePayload(*length);
    co_return counted<Frame>(m_peers->board, [&] { return m_session->open(header, payload); });
}

Task<void> Connection::readMessages()
{
    while (isOpen()) {
        auto frame = co_await readFrame();
        if (!frame)
            co_return;
        noteHeard();
        m_peers->board.counters().add(Counter::PeerMessagesReceived);
        handle(std::move(*frame));
    }
}

// Sorts a message to whom it is for. What belongs to a stream that has ended here is late, and is dropped.
void Connection::handle(Frame frame)
{
    auto& message = frame.message;
    if (const auto* ping = std::get_if<Ping>(&message)) {
        send(controlStream, Pong { ping->sequence, stampOf(m_peers->clock.now()) });
    } else if (const auto* pong = std::get_if<Pong>(&message)) {
        handle(*pong);
    } else if (auto* control = std::get_if<ControlMessage>(&message)) {
        m_usedAt = m_peers->clock.now();
        m_peers->handler.control(peer().endpoint, *control);
    } else if (auto* open = std::get_if<OpenRequest>(&message)) {
        handle(frame.stream, std::move(*open));
    } else if (const auto* query = std::get_if<VerdictQuery>(&message)) {
        handle(frame.stream, *query);
    } else {
        std::shared_ptr<QueuedStream> stream;
        {
            std::lock_guard guard(m_streamsLock);
            const auto found = m_streams.find(frame.stream);
            if (found != m_streams.end())
                stream = found->second;
        }
        if (stream && !stream->deliver(std::move(message)))
            becomeLost("protocol");
    }
}

namespace {

    void reportFailure(const std::exception& error)
    {
        log(LogLevel::Error, "request-handler-failed", { { "error", error.what() } });
    }

    // The stream ends with its handler, however that ends.
    Task<void> serveStream(
        std::shared_ptr<PeerContext> peers, MessageStreamPointer stream, OpenRequest request, PeerClock clock)
    {
        try {
            co_await peers->handler.serve(stream, std::move(request), clock);
        } catch (const std::exception& error) {
            reportFailure(error);
        }
        stream->close();
    }

} // namespace

void Connection::handle(uint64_t number, OpenRequest request)
{
    const auto stream = std::make_shared<ConnectionStream>(shared_from_this(), number);
    {
        std::lock_guard guard(m_streamsLock);
        if (m_state.load() != State::Ready || !m_streams.emplace(number, stream).second)
            return;
    }
    m_usedAt = m_peers->clock.now();
    boost::asio::co_spawn(boost::asio::make_strand(m_peers->context),
        serveStream(m_peers, stream, std::move(request), *m_clockOfPeer), boost::asio::detached);
}

void Connection::handle(uint64_t number, const VerdictQuery& query)
{
    send(number, m_peers->handler.verdict(query, peer(), *m_clockOfPeer));
}

// --- Streams --------------------------------------------------------------------------------------------------------

std::shared_ptr<QueuedStream> Connection::openStream()
{
    std::lock_guard guard(m_streamsLock);
    if (m_state.load() != State::Ready)
        return nullptr;
    const uint64_t number = ++m_lastStream;
    auto stream = std::make_shared<ConnectionStream>(shared_from_this(), number);
    m_streams.emplace(number, stream);
    return stream;
}

void Connection::closeStream(uint64_t number)
{
    std::lock_guard guard(m_streamsLock);
    m_streams.erase(number);
}

size_t Connection::streamCount()
{
    std::lock_guard guard(m_streamsLock);
    return m_streams.size();
}

bool Connection::silentFor(Duration limit) const
{
    return stampOf(m_peers->clock.now()) - Duration(m_heardAt.load()) > limit;
}

// An open connection can go silent for good while new ones work, so one that is in use is pinged, and counts as silent
// when no answer comes. One that nobody uses is closed.
void Connection::startWatching() { boost::asio::co_spawn(m_strand, watch(shared_from_this()), boost::asio::detached); }

Task<void> Connection::watch(std::shared_ptr<Connection> self) { co_await self->keepWatch(); }

Task<void> Connection::keepWatch()
{
    const auto& settings = m_peers->settings;
    m_watchedAt = m_peers->clock.now();
    while (isOpen()) {
        m_watchTimer.expires_after(watchPeriod);
        ErrorCode error;
        co_await m_watchTimer.async_wait(redirect_error(useAwaitable, error));
        const auto now = m_peers->clock.now();

        // After a pause of this process the answer may lie unread in the socket.
        if (now - std::exchange(m_watchedAt, now) > settings.pingAfter)
            m_unansweredPing.reset();

        // 1. Nobody uses it.
        if (streamCount())
            m_usedAt = now;
        else if (now - m_usedAt > settings.idleTimeout)
            becomeLost("idle");
        if (!streamCount() && m_state.load() == State::Silent)
            becomeLost("silent");
        if (!streamCount() && !m_needsLivenessCheck)
            continue;

        // 2. Requests wait on a silent connection, or control messages may have been lost with it.
        if (m_unansweredPing && now - m_pingedAt > settings.pingTimeout) {
            becomeSilent();
        } else if (!m_unansweredPing && (silentFor(settings.pingAfter) || now - m_pingedAt > settings.clockPeriod)) {
            ping(now);
        }
    }
}

void Connection::ping(Instant now)
{
    m_unansweredPing = ++m_pings;
    m_pingedAt = now;
    send(controlStream, Ping { m_pings });
}

// Also ties the peer's clock to ours anew, so that what bounds the age of its messages does not drift away.
void Connection::handle(const Pong& pong)
{
    if (m_unansweredPing != pong.sequence)
        return;
    m_unansweredPing.reset();
    m_clockOfPeer->refresh(m_pingedAt, m_peers->clock.now(), pong.sentAt);
}

// --- Writing --------------------------------------------------------------------------------------------------------

bool Connection::send(uint64_t stream, const StreamMessage& message)
{
    bool startWriting = false;
    {
        std::lock_guard guard(m_writeLock);
        if (!isOpen() || !m_session->seal(m_pending, stream, message))
            return false;
        startWriting = !std::exchange(m_isWriting, true);
    }
    if (std::holds_alternative<ControlMessage>(message))
        m_needsLivenessCheck = true;
    m_peers->board.counters().add(Counter::PeerMessagesSent);
    if (startWriting)
        boost::asio::post(m_strand, [self = shared_from_this()] { self->writeNext(); });
    return true;
}

std::shared_ptr<Event> Connection::waitForRoom()
{
    std::lock_guard guard(m_writeLock);
    if (!isOpen() || m_pending.size() < mostUnwrittenBytes)
        return nullptr;
    return m_roomWaiters.emplace_back(std::make_shared<Waiter>());
}

void Connection::wakeForRoom()
{
    std::vector<std::shared_ptr<Waiter>> waiters;
    {
        std::lock_guard guard(m_writeLock);
        waiters = std::exchange(m_roomWaiters, {});
    }
    wake(std::move(waiters));
}

bool Connection::hasUnsent()
{
    std::lock_guard guard(m_writeLock);
    return m_isWriting && !lost();
}

// Writes what is pending until nothing is; messages that come meanwhile go together in the next write.
void Connection::writeNext()
{
    {
        std::lock_guard guard(m_writeLock);
        m_writing.clear();
        m_writing.swap(m_pending);
        if (m_writing.empty()) {
            m_isWriting = false;
            return;
        }
    }
    wakeForRoom();
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writing),
        boost::asio::bind_executor(m_strand, [self = shared_from_this()](const ErrorCode& error, size_t) {
            if (error)
                self->becomeLost("not-written");
            else
                self->writeNext();
        }));
}

} // namespace Vanillaridge

#include "peer/Peer.h"

#include "address/Address.h"
#include "log/Log.h"
#include "peer/Connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace Vanillaridge {

using boost::asio::redirect_error;
using Udp = boost::asio::ip::udp;

namespace {

    constexpr Duration acceptPause = milliseconds(50);

    // A node's own messages are stamped by the clock that reads them.
    PeerClock ownClock(const Clock& clock)
    {
        const auto now = clock.now();
        return { now, now, now.time_since_epoch() };
    }

    PeerError peerErrorOf(const ErrorCode& error)
    {
        return error == boost::asio::error::address_in_use ? PeerError::AddressInUse : PeerError::Other;
    }

} // namespace

struct PeerTransport::Implementation : std::enable_shared_from_this<PeerTransport::Implementation> {
    Implementation(boost::asio::io_context& context, Board& board, const Clock& clock, RandomSource& random,
        std::string_view secret, PeerHandler& handler, PeerSettings settings)
        : peers(std::make_shared<PeerContext>(
            PeerContext { context, board, clock, random, Authenticator(secret), handler, settings, {} }))
        , acceptor(boost::asio::make_strand(context))
        , datagrams(boost::asio::make_strand(context))
    {
    }

    std::optional<PeerError> bind();
    Task<void> accept();
    PeerSocket makeSocket() { return PeerSocket(boost::asio::make_strand(peers->context)); }
    ErrorCode takeWaiting()
    {
        return acceptWaiting(
            acceptor, [this] { return makeSocket(); }, [this](PeerSocket socket) { take(std::move(socket)); });
    }
    void take(PeerSocket);
    Task<void> receiveDatagrams();
    void handleDatagram(Bytes);
    void deliverOutbox();
    void sendDatagram(const OutgoingMessage&);
    Task<void> sendControl(OutgoingMessage);
    template <typename Use> void forEachConnection(Use&&);
    std::optional<BootId> knownBoot(const Endpoint&);
    std::shared_ptr<Connection> connectionTo(const Endpoint&);
    void dropOutlived(const Connection&);
    void startServing(const MessageStreamPointer&);
    void startClosing(const std::shared_ptr<Connection>&);
    Task<void> closeAfter(std::shared_ptr<Connection>, Duration);

    std::shared_ptr<PeerContext> peers;
    boost::asio::basic_socket_acceptor<Tcp, Strand> acceptor;
    boost::asio::basic_datagram_socket<Udp, Strand> datagrams;
    Sharded<Endpoint, std::shared_ptr<Connection>> outgoing;
    std::mutex incomingLock;
    std::vector<std::weak_ptr<Connection>> incoming;
    std::atomic<bool> outboxPosted { false };
    std::atomic<bool> stopped { false };
};

PeerTransport::PeerTransport(boost::asio::io_context& context, Board& board, const Clock& clock, RandomSource& random,
    std::string_view sharedSecret, PeerHandler& handler, PeerSettings settings)
    : m_implementation(std::make_shared<Implementation>(context, board, clock, random, sharedSecret, handler, settings))
{
}

PeerTransport::~PeerTransport() { stop(); }

// --- Sockets --------------------------------------------------------------------------------------------------------

std::optional<PeerError> PeerTransport::Implementation::bind()
{
    const auto address = tcpEndpoint(peers->board.self().endpoint);
    if (!address)
        return PeerError::BadEndpoint;
    auto error = openAcceptor(acceptor, *address);
    if (error)
        return peerErrorOf(error);
    const Udp::endpoint udpAddress(address->address(), address->port());
    datagrams.open(udpAddress.protocol(), error);
    if (!error)
        datagrams.bind(udpAddress, error);
    if (!error)
        datagrams.non_blocking(true, error);
    if (error)
        return peerErrorOf(error);
    return std::nullopt;
}

std::optional<PeerError> PeerTransport::start()
{
    auto& self = *m_implementation;
    if (const auto error = self.bind())
        return error;
    self.peers->onAccepted = [weak = m_implementation->weak_from_this()](const Connection& accepted) {
        if (const auto implementation = weak.lock())
            implementation->dropOutlived(accepted);
    };
    boost::asio::co_spawn(self.acceptor.get_executor(), self.accept(), boost::asio::detached);
    boost::asio::co_spawn(self.datagrams.get_executor(), self.receiveDatagrams(), boost::asio::detached);
    self.peers->board.outbox().onPost([weak = m_implementation->weak_from_this()] {
        const auto implementation = weak.lock();
        if (!implementation || implementation->outboxPosted.exchange(true))
            return;
        boost::asio::post(implementation->peers->context, [implementation] { implementation->deliverOutbox(); });
    });
    return std::nullopt;
}

// Runs `use(Connection&)` for each connection, whoever made it.
template <typename Use> void PeerTransport::Implementation::forEachConnection(Use&& use)
{
    outgoing.forEach([&](const Endpoint&, const auto& connection) { use(*connection); });
    std::lock_guard guard(incomingLock);
    for (const auto& weak : incoming) {
        if (const auto connection = weak.lock())
            use(*connection);
    }
}

size_t PeerTransport::unsent() const
{
    size_t count = 0;
    m_implementation->forEachConnection([&](Connection& connection) { count += connection.hasUnsent(); });
    return count;
}

void PeerTransport::stop()
{
    if (m_implementation->stopped.exchange(true))
        return;
    boost::asio::post(m_implementation->acceptor.get_executor(), [self = m_implementation] {
        ErrorCode ignored;
        self->acceptor.close(ignored);
    });
    boost::asio::post(m_implementation->datagrams.get_executor(), [self = m_implementation] {
        ErrorCode ignored;
        self->datagrams.close(ignored);
    });
    m_implementation->forEachConnection([](Connection& connection) { connection.close(); });
}

Task<void> PeerTransport::Implementation::accept()
{
    const auto self = shared_from_this();
    boost::asio::steady_timer pause(acceptor.get_executor());
    while (!stopped) {
        auto socket = makeSocket();
        ErrorCode error;
        co_await acceptor.async_accept(socket, redirect_error(useAwaitable, error));
        if (error == boost::asio::error::operation_aborted)
            co_return;
        if (!error) {
            take(std::move(socket));
            error = takeWaiting();
        }
        if (error && !concernsOneConnection(error)) {
            pause.expires_after(acceptPause);
            co_await pause.async_wait(redirect_error(useAwaitable, error));
        }
    }
}

void PeerTransport::Implementation::take(PeerSocket socket)
{
    const auto connection = std::make_shared<Connection>(peers, std::move(socket));
    {
        std::lock_guard guard(incomingLock);
        std::erase_if(incoming, [](const auto& weak) { return weak.expired(); });
        incoming.push_back(connection);
    }
    connection->startAccepting();
}

// --- Datagrams ------------------------------------------------------------------------------------------------------

Task<void> PeerTransport::Implementation::receiveDatagrams()
{
    const auto self = shared_from_this();
    std::vector<std::byte> buffer(maximumDatagram);
    Udp::endpoint sender;
    while (!stopped) {
        ErrorCode error;
        const auto size = co_await datagrams.async_receive_from(
            boost::asio::buffer(buffer), sender, redirect_error(useAwaitable, error));
        if (error == boost::asio::error::operation_aborted || error == boost::asio::error::bad_descriptor)
            co_return;
        if (!error)
            handleDatagram(Bytes(buffer.data(), size));
    }
}

// A datagram counts for the node that sealed it, whatever address it came from.
void PeerTransport::Implementation::handleDatagram(Bytes bytes)
{
    auto& counters = peers->board.counters();
    counters.add(Counter::ControlBytesReceived, bytes.size());
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(datagram, peers->authenticator.open(bytes, peers->board.self().endpoint));
            counters.add(Counter::PeerMessagesReceived);
            peers->handler.control(datagram.from, datagram.message);
            return {};
        },
        [&](WireError error) {
            const bool forged = error == WireError::BadMac;
            counters.add(forged ? Counter::PeerMessagesForged : Counter::PeerMessagesMalformed);
        },
        [&] { counters.add(Counter::PeerMessagesMalformed); });
}

void PeerTransport::Implementation::sendDatagram(const OutgoingMessage& outgoingMessage)
{
    const auto address = tcpEndpoint(outgoingMessage.to);
    if (!address)
        return;
    const auto& self = peers->board.self();
    const Datagram datagram { self.endpoint, self.boot, peers->clock.now().time_since_epoch(),
        outgoingMessage.message };
    auto& counters = peers->board.counters();
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(bytes, peers->authenticator.seal(datagram, outgoingMessage.to));
            ErrorCode ignored;
            datagrams.send_to(
                boost::asio::buffer(bytes), Udp::endpoint(address->address(), address->port()), 0, ignored);
            counters.add(Counter::PeerMessagesSent);
            counters.add(Counter::ControlBytesSent, bytes.size());
            return {};
        },
        [&] { counters.add(Counter::PeerMessagesMalformed); });
}

// --- Control messages -----------------------------------------------------------------------------------------------

// Empties the outbox. Datagrams go out on their socket's strand; the others take or make a connection.
void PeerTransport::Implementation::deliverOutbox()
{
    outboxPosted = false;
    for (auto& message : peers->board.outbox().drain()) {
        if (message.to == peers->board.self().endpoint)
            peers->handler.control(message.to, message.message);
        else if (isDatagram(message.message))
            boost::asio::post(datagrams.get_executor(),
                [self = shared_from_this(), message = std::move(message)] { self->sendDatagram(message); });
        else
            boost::asio::co_spawn(
                boost::asio::make_strand(peers->context), sendControl(std::move(message)), boost::asio::detached);
    }
}

// A control message that cannot be sent is dropped: controllers ask again.
Task<void> PeerTransport::Implementation::sendControl(OutgoingMessage message)
{
    const auto self = shared_from_this();
    const auto connection = connectionTo(message.to);
    const bool ready = co_await connection->ready();
    if (ready)
        connection->send(controlStream, std::move(message.message));
}

// --- Connections ----------------------------------------------------------------------------------------------------

// The boot of the process at the endpoint, as members tell of it.
std::optional<BootId> PeerTransport::Implementation::knownBoot(const Endpoint& endpoint)
{
    std::optional<BootId> boot;
    peers->board.members().visit(NodeId::of(endpoint), [&](const MemberRecord& record) { boot = record.said.boot; });
    return boot;
}

// The connection to a node, which is made if there is none or it was lost. One to an earlier process there is left to
// the requests that wait on it.
std::shared_ptr<Connection> PeerTransport::Implementation::connectionTo(const Endpoint& endpoint)
{
    const auto known = knownBoot(endpoint);
    std::shared_ptr<Connection> made;
    const auto connection = outgoing.update(endpoint, [&](std::shared_ptr<Connection>& present) {
        if (!present || present->refusesStreams() || present->isOutlivedBy(known))
            present = made = std::make_shared<Connection>(peers, known);
        return present;
    });
    if (made)
        made->startConnecting(endpoint);
    return connection;
}

// A machine that is lost closes nothing, and whoever gets its address next need not reset what was open: what is sent
// on that connection, such as the reply to the other's first message, is lost without a word.
void PeerTransport::Implementation::dropOutlived(const Connection& accepted)
{
    std::shared_ptr<Connection> outlived;
    outgoing.with(accepted.peer().endpoint, [&](auto& connections) {
        const auto found = connections.find(accepted.peer().endpoint);
        if (found == connections.end() || !found->second->isOutlivedBy(accepted))
            return;
        outlived = std::move(found->second);
        connections.erase(found);
    });
    if (outlived)
        outlived->close("outlived");
}

namespace {

    Task<void> serveLocal(std::shared_ptr<PeerContext> peers, MessageStreamPointer stream)
    {
        auto first = co_await stream->receive();
        if (auto* request = first ? std::get_if<OpenRequest>(&*first) : nullptr)
            co_await peers->handler.serve(stream, std::move(*request), ownClock(peers->clock));
        stream->close();
    }

} // namespace

// Temporaries with owners in them are made in plain functions: see the developers' page.
void PeerTransport::Implementation::startServing(const MessageStreamPointer& stream)
{
    boost::asio::co_spawn(boost::asio::make_strand(peers->context), serveLocal(peers, stream), boost::asio::detached);
}

Task<MessageStreamPointer> PeerTransport::open(Endpoint endpoint)
{
    const auto self = m_implementation;
    if (endpoint == self->peers->board.self().endpoint) {
        const auto [entry, guard] = makeLocalStreams(self->peers->hello());
        self->startServing(guard);
        co_return entry;
    }
    const auto connection = self->connectionTo(endpoint);
    const bool ready = co_await connection->ready();
    if (!ready)
        co_return nullptr;
    co_return connection->openStream();
}

// Breaks off a connection that nobody else uses, once its time is over.
Task<void> PeerTransport::Implementation::closeAfter(std::shared_ptr<Connection> connection, Duration limit)
{
    const auto self = shared_from_this();
    boost::asio::steady_timer timer(peers->context, limit);
    ErrorCode ignored;
    co_await timer.async_wait(redirect_error(useAwaitable, ignored));
    connection->close();
}

void PeerTransport::Implementation::startClosing(const std::shared_ptr<Connection>& connection)
{
    boost::asio::co_spawn(boost::asio::make_strand(peers->context),
        closeAfter(connection, 2 * peers->settings.connectTimeout), boost::asio::detached);
}

Task<std::optional<VerdictReply>> PeerTransport::askVerdict(Endpoint endpoint, VerdictQuery query)
{
    // 1. The judge of what ran here is this node itself.
    const auto self = m_implementation;
    if (endpoint == self->peers->board.self().endpoint)
        co_return self->peers->handler.verdict(query, self->peers->hello(), ownClock(self->peers->clock));

    // 2. A connection of its own: the one that the request went by may be the fault.
    const auto connection = std::make_shared<Connection>(self->peers);
    connection->startConnecting(endpoint);
    self->startClosing(connection);
    const bool ready = co_await connection->ready();
    const auto stream = connection->openStream();
    if (!ready || !stream || !stream->send(query))
        co_return std::nullopt;

    // 3. Its reply.
    const auto message = co_await stream->receive();
    connection->close();
    const auto* reply = message ? std::get_if<VerdictReply>(&*message) : nullptr;
    if (!reply || reply->attempt != query.attempt)
        co_return std::nullopt;
    co_return *reply;
}

} // namespace Vanillaridge

#include "http/HttpConnection.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <set>

namespace Vanillaridge {

namespace {

    using Request = http::request_parser<http::buffer_body>;
    using Response = http::response<http::buffer_body>;
    using ResponseSerializer = http::response_serializer<http::buffer_body>;

    constexpr Duration acceptPause = milliseconds(50);
    // Of the connections allowed, one in so many is closed at once to make room.
    constexpr size_t roomShare = 64;
    // How late the end of a time limit may be seen; short beside the shortest of them.
    constexpr Duration sweepPeriod = milliseconds(250);
    // How often connections may be ended to free buffers, since finding them means looking at all, and the share of the
    // side's part that is freed each time.
    constexpr Duration freeingPeriod = milliseconds(20);
    constexpr uint64_t freedShare = 4;
    // Time that each connection is given to move what it holds; the second where more is held than there is room for,
    // since answers are taken in any case.
    constexpr Duration burdenGrace = milliseconds(500);
    constexpr Duration burdenGraceBeyondLimit = milliseconds(100);

    // A status that never has a body, whatever the headers say.
    bool isBodiless(uint16_t status) { return status == 204 || status == 304 || status < 200; }

    RequestHead headOf(Request& parser)
    {
        const auto& message = parser.get();
        RequestHead head;
        head.method = std::string(message.method_string());
        head.target = std::string(message.target());
        head.headers = endToEndHeaders(message);
        if (const auto length = parser.content_length())
            head.contentLength = *length;
        head.hasBody = parser.chunked() || head.contentLength.value_or(0) > 0;
        return head;
    }

    /// Counts itself for as long as it lives.
    class Counted {
    public:
        explicit Counted(std::atomic<size_t>& count)
            : m_count(count)
        {
            ++m_count;
        }
        ~Counted() { --m_count; }
        Counted(const Counted&) = delete;
        Counted& operator=(const Counted&) = delete;

    private:
        std::atomic<size_t>& m_count;
    };

} // namespace

// --- One exchange ---------------------------------------------------------------------------------------------------

struct HttpExchange::Implementation {
    Implementation(std::shared_ptr<HttpConnection> connection, std::unique_ptr<Request> parser)
        : connection(std::move(connection))
        , parser(std::move(parser))
        , head(headOf(*this->parser))
        , expectsContinue(beast::iequals(this->parser->get()[http::field::expect], "100-continue"))
    {
    }

    // A caller that waits for leave to send its body is given it when the body is first wanted.
    Task<void> allowBody()
    {
        expectsContinue = false;
        http::response<http::empty_body> interim(http::status::continue_, 11);
        ErrorCode error;
        co_await http::async_write(connection->socket, interim, redirect_error(useAwaitable, error));
    }

    // Writes what the serializer holds.
    Task<bool> write()
    {
        connection->limit(connection->limits.pieceTimeout);
        ErrorCode error;
        const auto written
            = co_await http::async_write(connection->socket, *serializer, redirect_error(useAwaitable, error));
        connection->noteMoved(written);
        connection->unlimit();
        co_return !error || error == http::error::need_buffer;
    }

    std::shared_ptr<HttpConnection> connection;
    std::unique_ptr<Request> parser;
    RequestHead head;
    bool expectsContinue;
    Response response;
    std::optional<ResponseSerializer> serializer;
    std::optional<uint64_t> bytesToWrite;
    bool finished { false };
    bool closesAfterReply { false };
    bool endsConnection { false };
};

HttpExchange::HttpExchange(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

HttpExchange::~HttpExchange() = default;

const RequestHead& HttpExchange::head() const { return m_implementation->head; }

const Strand& HttpExchange::strand() const { return m_implementation->connection->strand; }

Task<BodyPiece> HttpExchange::readBody()
{
    auto& self = *m_implementation;
    auto& connection = *self.connection;
    if (self.expectsContinue && !self.parser->is_done())
        co_await self.allowBody();
    connection.limit(connection.limits.pieceTimeout);
    auto piece = co_await readPiece(connection.socket, connection.buffer, *self.parser);
    connection.noteMoved(piece.bytes.size());
    connection.unlimit();
    if (piece.end == BodyEnd::Cut && connection.expired())
        piece.end = BodyEnd::TooSlow;
    co_return piece;
}

void HttpExchange::stopReading()
{
    ErrorCode ignored;
    m_implementation->connection->socket.cancel(ignored);
}

bool HttpExchange::bodyFinished() const { return m_implementation->parser->is_done(); }

Task<bool> HttpExchange::writeHead(ReplyHead head, HeadWriting writing)
{
    auto& self = *m_implementation;
    auto& connection = *self.connection;

    // 1. A connection whose request was not read to its end cannot carry another one. One that is to close does so
    // after what has been read.
    const bool isLast = connection.closing && !connection.buffer.size();
    const bool keepAlive = self.parser->keep_alive() && self.parser->is_done() && !isLast && !self.closesAfterReply;

    // 2. The head, with the body's framing.
    const bool bodiless = isBodiless(head.status) || self.parser->get().method() == http::verb::head;
    self.response.result(head.status);
    self.response.version(self.parser->get().version());
    setHeaders(self.response, head.headers, head.hasBody && !bodiless, head.contentLength);
    if (!head.hasBody && !head.contentLength && !isBodiless(head.status))
        self.response.content_length(0);
    if (head.hasBody && !bodiless && !head.contentLength && self.response.version() < 11)
        self.response.chunked(false);
    self.response.keep_alive(keepAlive && !(self.response.need_eof()));
    self.endsConnection = !self.response.keep_alive();
    self.bytesToWrite = bodiless ? std::optional<uint64_t>(0) : head.contentLength;

    // 3. Written without waiting for the body, unless that is there already.
    self.response.body().data = nullptr;
    self.response.body().more = head.hasBody && !bodiless;
    self.serializer.emplace(self.response);
    self.finished = !head.hasBody || bodiless;
    if (writing == HeadWriting::WithBody && !self.finished)
        co_return true;
    co_return co_await self.write();
}

Task<bool> HttpExchange::writeBody(std::string_view bytes, bool last)
{
    auto& self = *m_implementation;
    if (self.finished)
        co_return true;

    // 1. More or less than was announced must not look like a whole answer.
    if (self.bytesToWrite) {
        if (bytes.size() > *self.bytesToWrite || (last && bytes.size() < *self.bytesToWrite)) {
            self.connection->close();
            co_return false;
        }
        *self.bytesToWrite -= bytes.size();
    }

    // 2. An empty piece says something only when it is the last.
    if (bytes.empty() && !last)
        co_return true;
    putPiece(self.response, bytes, last);
    const bool written = co_await self.write();
    self.finished = written && last;
    co_return written;
}

Task<bool> HttpExchange::reply(SimpleReply reply)
{
    ReplyHead head { reply.status, std::move(reply.headers), !reply.body.empty(), reply.body.size() };
    const bool written = co_await writeHead(std::move(head), HeadWriting::WithBody);
    if (!written)
        co_return false;
    co_return co_await writeBody(reply.body, true);
}

bool HttpExchange::replyStarted() const { return m_implementation->serializer.has_value(); }

void HttpExchange::closeAfterReply() { m_implementation->closesAfterReply = true; }

bool HttpExchange::holdBuffers(uint64_t bytes) { return m_implementation->connection->hold(bytes); }

void HttpExchange::forceBuffers(uint64_t bytes) { m_implementation->connection->force(bytes); }

bool HttpExchange::callerGone() const { return m_implementation->connection->hasCallerGone(); }

void HttpExchange::onCallerGone(std::function<void()> callback)
{
    m_implementation->connection->readAhead(std::move(callback));
}

void HttpExchange::abort()
{
    auto& self = *m_implementation;
    // Where the end of the connection is the end of the reply, only a reset tells that the reply is cut short.
    const bool endsWithConnection = self.serializer && !self.finished && self.response.need_eof();
    ErrorCode ignored;
    if (endsWithConnection)
        self.connection->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    self.connection->close();
}

// --- The server -----------------------------------------------------------------------------------------------------

struct HttpServer::Implementation : std::enable_shared_from_this<HttpServer::Implementation> {
    Implementation(boost::asio::io_context& context, HttpLimits limits, HttpHandler& handler)
        : context(context)
        , limits(limits)
        , handler(handler)
        , acceptor(boost::asio::make_strand(context))
        , sweepTimer(acceptor.get_executor())
    {
    }

    Task<void> accept();
    TcpSocket makeSocket() { return TcpSocket(boost::asio::make_strand(context)); }
    ErrorCode takeAll(TcpSocket first);
    void take(TcpSocket);
    bool makeRoom();
    void freeBuffers();
    bool isShortOfBuffers() const { return limits.budget && limits.budget->isShort(limits.side); }
    uint64_t bytesBeyondLimit() const;
    Task<void> sweep();
    void endLateSteps();
    Task<void> serve(std::shared_ptr<HttpConnection>);
    Task<bool> serveOne(std::shared_ptr<HttpConnection>);
    bool mayGrow(HttpConnection&);
    Task<void> reject(HttpConnection&, Reason);

    void add(const std::shared_ptr<HttpConnection>& connection)
    {
        std::lock_guard guard(lock);
        connections.insert(connection);
        if (draining)
            connection->closing = true;
    }

    void remove(const std::shared_ptr<HttpConnection>& connection)
    {
        std::lock_guard guard(lock);
        connections.erase(connection);
    }

    size_t count()
    {
        std::lock_guard guard(lock);
        return connections.size();
    }

    boost::asio::io_context& context;
    HttpLimits limits;
    HttpHandler& handler;
    boost::asio::basic_socket_acceptor<Tcp, Strand> acceptor;
    boost::asio::steady_timer sweepTimer;
    std::atomic<bool> closesAfterReplies { false };
    std::atomic<bool> draining { false };
    std::atomic<size_t> exchanges { 0 };
    std::atomic<size_t> lingering { 0 };
    std::mutex lock;
    std::set<std::shared_ptr<HttpConnection>> connections;
    Instant nextFreeing;
};

// Takes connections until the acceptor is closed. A failed accept must not end it, nor may it be tried again without a
// pause; most often no descriptor is left, and idle connections hold some.
Task<void> HttpServer::Implementation::accept()
{
    const auto self = shared_from_this();
    boost::asio::steady_timer pause(acceptor.get_executor());
    while (!draining) {
        auto socket = makeSocket();
        ErrorCode error;
        co_await acceptor.async_accept(socket, redirect_error(useAwaitable, error));
        if (error == boost::asio::error::operation_aborted)
            co_return;
        if (!error)
            error = takeAll(std::move(socket));
        if (!error || concernsOneConnection(error))
            continue;
        handler.noteAcceptance(Acceptance::Failed);
        makeRoom();
        pause.expires_after(acceptPause);
        co_await pause.async_wait(redirect_error(useAwaitable, error));
    }
}

// Takes a connection and those that wait behind it. Nothing that goes wrong with one of them may end the accepting.
ErrorCode HttpServer::Implementation::takeAll(TcpSocket first)
{
    try {
        take(std::move(first));
        return acceptWaiting(
            acceptor, [this] { return makeSocket(); }, [this](TcpSocket socket) { take(std::move(socket)); });
    } catch (const std::exception&) {
        return make_error_code(boost::system::errc::not_enough_memory);
    }
}

void HttpServer::Implementation::take(TcpSocket socket)
{
    const bool isFull = count() >= limits.connections;
    if (isFull && !makeRoom()) {
        if (limits.budget)
            freeBuffers();
        handler.noteAcceptance(Acceptance::TurnedAway);
        return;
    }
    handler.noteAcceptance(isFull ? Acceptance::Displaced : Acceptance::Accepted);
    ErrorCode ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    const auto connection = std::make_shared<HttpConnection>(std::move(socket), limits);
    add(connection);
    boost::asio::co_spawn(connection->strand, serve(connection), boost::asio::detached);
}

// Closes the connections that have carried nothing for longest, if there are any. Several at once, since finding them
// means looking at all. One on which a request comes at that moment stays.
bool HttpServer::Implementation::makeRoom()
{
    using Idle = std::pair<Instant, std::shared_ptr<HttpConnection>>;
    const auto now = BootClock::now();
    std::vector<Idle> idle;
    std::lock_guard guard(lock);
    for (const auto& connection : connections) {
        if (const auto since = connection->idleSince(now))
            idle.emplace_back(*since, connection);
    }
    const auto closed = std::min(idle.size(), limits.connections / roomShare + 1);
    const auto end = idle.begin() + static_cast<std::ptrdiff_t>(closed);
    std::partial_sort(
        idle.begin(), end, idle.end(), [](const Idle& left, const Idle& right) { return left.first < right.first; });
    idle.erase(end, idle.end());
    for (const auto& [since, connection] : idle) {
        connections.erase(connection);
        boost::asio::post(connection->strand, [self = shared_from_this(), connection = connection] {
            if (!connection->giveWay())
                self->add(connection);
        });
    }
    return closed > 0;
}

// What answers have taken beyond this side's part.
uint64_t HttpServer::Implementation::bytesBeyondLimit() const
{
    if (!limits.budget)
        return 0;
    const auto limit = limits.budget->limit(limits.side);
    const auto held = limits.budget->held(limits.side);
    return held - std::min(held, limit);
}

// Ends the connections that burden this server most: those that hold much, have held it for long, and whose callers
// have moved little. So many that a quarter of this side's part is free again.
void HttpServer::Implementation::freeBuffers()
{
    using Burdened = std::pair<double, std::shared_ptr<HttpConnection>>;
    const auto now = BootClock::now();
    const auto beyondLimit = bytesBeyondLimit();
    const auto grace = beyondLimit ? burdenGraceBeyondLimit : burdenGrace;
    const auto wanted = beyondLimit + limits.budget->limit(limits.side) / freedShare;
    std::vector<Burdened> burdened;
    {
        std::lock_guard guard(lock);
        if (now < nextFreeing)
            return;
        nextFreeing = now + freeingPeriod;
        for (const auto& connection : connections) {
            if (const auto burden = connection->burden(now, grace))
                burdened.emplace_back(*burden, connection);
        }
    }
    std::ranges::sort(burdened, std::greater(), &Burdened::first);
    uint64_t freed = 0;
    size_t ended = 0;
    for (const auto& [burden, connection] : burdened) {
        if (freed >= wanted)
            break;
        freed += connection->heldBytes();
        ++ended;
        boost::asio::post(connection->strand, [connection = connection] { connection->expireNow(); });
    }
    if (ended)
        handler.noteBuffersFreed(ended);
}

Task<void> HttpServer::Implementation::serve(std::shared_ptr<HttpConnection> connection)
{
    const auto self = shared_from_this();
    try {
        bool goesOn = true;
        while (goesOn)
            goesOn = co_await serveOne(connection);
    } catch (const std::exception&) {
        // A handler that fails leaves its caller without an answer: the connection is closed below.
    }
    {
        const Counted counted(lingering);
        co_await connection->linger();
        connection->close();
    }
    remove(connection);
}

// Time limits of all connections are looked at together, now and then.
Task<void> HttpServer::Implementation::sweep()
{
    const auto self = shared_from_this();
    ErrorCode error;
    while (!error && (!draining || count())) {
        sweepTimer.expires_after(bytesBeyondLimit() ? freeingPeriod : sweepPeriod);
        co_await sweepTimer.async_wait(redirect_error(useAwaitable, error));
        endLateSteps();
        if (isShortOfBuffers())
            freeBuffers();
    }
}

void HttpServer::Implementation::endLateSteps()
{
    const auto now = BootClock::now();
    std::lock_guard guard(lock);
    for (const auto& connection : connections) {
        if (connection->limitPassed(now))
            boost::asio::post(connection->strand, [connection] { connection->expire(); });
    }
}

namespace {

    // What the parser's failure means to the caller; nothing when the caller is simply gone.
    Reason reasonOf(ErrorCode error)
    {
        if (error == http::error::header_limit || error == http::error::buffer_overflow)
            return Reason::HeadTooLarge;
        if (error == beast::error::timeout)
            return Reason::SlowCaller;
        if (error == boost::system::errc::not_enough_memory)
            return Reason::MemoryFull;
        if (error == http::error::end_of_stream)
            return Reason::None;
        if (error.category() == http::make_error_code(http::error::bad_method).category())
            return Reason::BadRequest;
        return Reason::None;
    }

    // What is wrong with the way in which the head says where the body ends. What follows such a head cannot be told
    // apart from a further request.
    Reason framingFault(const Request& parser)
    {
        const auto& message = parser.get();
        const bool hasCoding = message.count(http::field::transfer_encoding);
        return hasUnambiguousFraming(message) && hasCoding == parser.chunked() ? Reason::None : Reason::BadFraming;
    }

} // namespace

// A head that is longer than most counts for what it takes up.
bool HttpServer::Implementation::mayGrow(HttpConnection& connection)
{
    if (connection.buffer.size() < headPieceBytes)
        return true;
    const bool hasRoom = connection.hold(2 * connection.buffer.size());
    if (!hasRoom || isShortOfBuffers())
        freeBuffers();
    return hasRoom;
}

Task<bool> HttpServer::Implementation::serveOne(std::shared_ptr<HttpConnection> connection)
{
    // 1. The head.
    const bool hasBegun = co_await connection->awaitRequest();
    if (!hasBegun)
        co_return false;
    const Counted counted(exchanges);
    if (closesAfterReplies)
        connection->closing = true;
    auto parser = std::make_unique<Request>();
    parser->header_limit(limits.headBytes);
    parser->body_limit(boost::none);
    connection->limit(limits.headTimeout);
    connection->beginHead();
    const auto error = co_await readHeader(
        connection->socket, connection->buffer, *parser, [this, &connection] { return mayGrow(*connection); });
    connection->endHead();
    connection->unlimit();
    const auto fault
        = error ? reasonOf(connection->expired() ? ErrorCode(beast::error::timeout) : error) : framingFault(*parser);
    if (error || fault != Reason::None) {
        co_await reject(*connection, fault);
        co_return false;
    }

    // 2. The exchange. Its own reads and writes set their own time limits.
    auto state = std::make_unique<HttpExchange::Implementation>(connection, std::move(parser));
    auto& exchangeState = *state;
    const auto exchange = std::make_shared<HttpExchange>(std::move(state));
    co_await handler.serve(exchange);
    connection->forgetCaller();

    connection->shrink();

    // 3. The connection goes on only after a whole request and a whole reply.
    if (!exchangeState.finished) {
        exchange->abort();
        co_return false;
    }
    co_return !exchangeState.endsConnection && exchangeState.parser->is_done();
}

Task<void> HttpServer::Implementation::reject(HttpConnection& connection, Reason reason)
{
    if (reason == Reason::None)
        co_return;
    auto reply = handler.rejection(reason);
    http::response<http::string_body> response(http::int_to_status(reply.status), 11);
    response.body() = std::move(reply.body);
    setHeaders(response, reply.headers, true, response.body().size());
    response.keep_alive(false);
    connection.limit(limits.pieceTimeout);
    ErrorCode ignored;
    co_await http::async_write(connection.socket, response, redirect_error(useAwaitable, ignored));
    connection.unlimit();
}

HttpServer::HttpServer(boost::asio::io_context& context, HttpLimits limits, HttpHandler& handler)
    : m_implementation(std::make_shared<Implementation>(context, limits, handler))
{
}

HttpServer::~HttpServer() { drain(); }

std::optional<HttpError> HttpServer::listen(const Endpoint& endpoint)
{
    const auto address = tcpEndpoint(endpoint);
    if (!address)
        return HttpError::BadEndpoint;
    auto& acceptor = m_implementation->acceptor;
    const auto error = openAcceptor(acceptor, *address);
    if (error)
        return error == boost::asio::error::address_in_use ? HttpError::AddressInUse : HttpError::Other;
    boost::asio::co_spawn(acceptor.get_executor(), m_implementation->accept(), boost::asio::detached);
    boost::asio::co_spawn(acceptor.get_executor(), m_implementation->sweep(), boost::asio::detached);
    return std::nullopt;
}

Endpoint HttpServer::endpoint() const
{
    ErrorCode ignored;
    const auto local = m_implementation->acceptor.local_endpoint(ignored);
    return local.address().to_string() + ":" + std::to_string(local.port());
}

void HttpServer::drain()
{
    if (m_implementation->draining.exchange(true))
        return;

    // 1. No new connections.
    boost::asio::post(m_implementation->acceptor.get_executor(), [self = m_implementation] {
        ErrorCode ignored;
        self->acceptor.close(ignored);
    });

    // 2. The others end after their exchange; idle ones at once.
    std::lock_guard guard(m_implementation->lock);
    for (const auto& connection : m_implementation->connections) {
        connection->closing = true;
        boost::asio::post(connection->strand, [connection] { connection->endIfIdle(); });
    }
}

void HttpServer::closeAfterReplies() { m_implementation->closesAfterReplies = true; }

size_t HttpServer::connections() const { return m_implementation->count() - m_implementation->lingering; }

size_t HttpServer::exchanges() const { return m_implementation->exchanges; }

} // namespace Vanillaridge

#include "http/HttpMessages.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <deque>
#include <limits>
#include <map>
#include <mutex>

namespace Vanillaridge {

namespace {

    using Request = http::request<http::buffer_body>;
    using RequestSerializer = http::request_serializer<http::buffer_body>;
    using Response = http::response_parser<http::buffer_body>;

    // A connection that has been quiet for longer is not used again: it may have gone silent for good, or the backend
    // server may be about to close it.
    constexpr Duration reuseLimit = seconds(1);
    constexpr size_t idleConnectionsPerServer = 256;
    constexpr uint32_t answerHeadBytes = 64 * 1024;
    // A backend server in trouble may send without end. What says nothing to the caller is read so far and no further:
    // interim answers and those of other requests, and the body of a failure.
    constexpr uint32_t answersPassedOver = 16;
    constexpr uint64_t strayBodyBytes = 1024 * 1024;
    constexpr uint64_t failureBodyBytes = 1024 * 1024;
    constexpr uint64_t noLimit = std::numeric_limits<uint64_t>::max();
    constexpr uint16_t firstFailure = 400;

    // An open connection that no call uses.
    struct IdleConnection {
        // Neither closed nor with bytes that nobody asked for.
        bool isQuiet() { return peekAt(socket) == SocketState::Quiet; }
        bool isRecent() const { return BootClock::now() - since < reuseLimit; }

        TcpSocket socket;
        Instant since;
    };

} // namespace

struct BackendPool::Implementation {
    Implementation(boost::asio::io_context& context, size_t most)
        : context(context)
        , most(most)
    {
    }

    std::optional<TcpSocket> take(const Endpoint& endpoint)
    {
        std::lock_guard guard(lock);
        auto& connections = idle[endpoint];
        while (!connections.empty()) {
            auto connection = std::move(connections.back());
            connections.pop_back();
            --idleCount;
            if (connection.isRecent() && connection.isQuiet())
                return std::move(connection.socket);
        }
        return std::nullopt;
    }

    // The oldest lie in front.
    void keep(const Endpoint& endpoint, TcpSocket socket)
    {
        std::lock_guard guard(lock);
        auto& connections = idle[endpoint];
        while (!connections.empty() && !connections.front().isRecent())
            dropOldest(connections);
        if (connections.size() >= idleConnectionsPerServer)
            return;
        connections.push_back({ std::move(socket), BootClock::now() });
        ++idleCount;
    }

    void dropOldest(std::deque<IdleConnection>& connections)
    {
        connections.pop_front();
        --idleCount;
    }

    // Counts a connection as in use; false if too many are. Idle ones give way.
    bool enter()
    {
        std::lock_guard guard(lock);
        if (inUse >= most)
            return false;
        for (auto& [endpoint, connections] : idle) {
            while (inUse + idleCount >= most && !connections.empty())
                dropOldest(connections);
        }
        ++inUse;
        return true;
    }

    void leave()
    {
        std::lock_guard guard(lock);
        --inUse;
    }

    boost::asio::io_context& context;
    const size_t most;
    std::mutex lock;
    std::map<Endpoint, std::deque<IdleConnection>> idle;
    size_t idleCount { 0 };
    size_t inUse { 0 };
};

namespace {

    // One of the connections in use, from before it is made until it is idle or closed.
    class Place {
    public:
        explicit Place(std::shared_ptr<BackendPool::Implementation> pool)
            : m_pool(std::move(pool))
        {
            if (!m_pool->enter())
                m_pool.reset();
        }
        ~Place()
        {
            if (m_pool)
                m_pool->leave();
        }
        Place(Place&&) = default;
        Place& operator=(Place&&) = delete;

        explicit operator bool() const { return static_cast<bool>(m_pool); }

    private:
        std::shared_ptr<BackendPool::Implementation> m_pool;
    };

} // namespace

struct BackendCall::Implementation {
    Implementation(std::shared_ptr<BackendPool::Implementation> pool, Place place, Endpoint endpoint, TcpSocket socket)
        : place(std::move(place))
        , pool(std::move(pool))
        , endpoint(std::move(endpoint))
        , socket(std::move(socket))
        , buffer(answerHeadBytes + bodyPieceBytes)
    {
    }

    // Whether the end of the connection is that of a whole answer.
    bool hasOrderlyEnd() const
    {
        ErrorCode error;
        socket.remote_endpoint(error);
        return isOrderly({ writeFailed, !error });
    }

    // A connection goes back to the pool after a whole request and a whole answer, and at no other time.
    ~Implementation()
    {
        const bool whole = requestWritten && parser && parser->is_done() && parser->keep_alive();
        if (whole && !aborted && !buffer.size())
            pool->keep(endpoint, std::move(socket));
    }

    Place place;
    std::shared_ptr<BackendPool::Implementation> pool;
    Endpoint endpoint;
    TcpSocket socket;
    beast::flat_buffer buffer;
    Request request;
    std::optional<RequestSerializer> serializer;
    std::unique_ptr<Response> parser;
    bool requestWritten { false };
    bool writeFailed { false };
    bool aborted { false };
    /// Bytes of the present answer's body that are still read.
    uint64_t bodyLeft { noLimit };
};

BackendCall::BackendCall(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

BackendCall::~BackendCall() = default;

Task<bool> BackendCall::writeHead(RequestHead head)
{
    auto& self = *m_implementation;
    self.request.version(11);
    self.request.method_string(head.method);
    self.request.target(head.target);
    setHeaders(self.request, head.headers, head.hasBody, head.contentLength);
    if (!self.request.count(http::field::host))
        self.request.set(http::field::host, self.endpoint);
    self.request.body().data = nullptr;
    self.request.body().more = head.hasBody;
    self.serializer.emplace(self.request);
    ErrorCode error;
    co_await http::async_write_header(self.socket, *self.serializer, redirect_error(useAwaitable, error));
    self.requestWritten = !error && !head.hasBody;
    self.writeFailed = static_cast<bool>(error);
    co_return !error;
}

Task<bool> BackendCall::writeBody(std::string_view bytes, bool last)
{
    auto& self = *m_implementation;
    if (bytes.empty() && !last)
        co_return true;
    putPiece(self.request, bytes, last);
    ErrorCode error;
    co_await http::async_write(self.socket, *self.serializer, redirect_error(useAwaitable, error));
    const bool written = !error || error == http::error::need_buffer;
    self.requestWritten = written && last;
    self.writeFailed = !written;
    co_return written;
}

// Reads an answer to its end and forgets it; false when it does not end as it should.
Task<bool> BackendCall::skipAnswer()
{
    m_implementation->bodyLeft = strayBodyBytes;
    while (true) {
        const auto piece = co_await readBody();
        if (piece.end != BodyEnd::More)
            co_return piece.end == BodyEnd::Last;
    }
}

Task<std::optional<ReplyHead>> BackendCall::readHead(StrayTest isStray)
{
    auto& self = *m_implementation;
    for (uint32_t passedOver = 0; passedOver < answersPassedOver; ++passedOver) {
        // 1. The head; interim answers are passed over.
        self.parser = std::make_unique<Response>();
        self.parser->header_limit(answerHeadBytes);
        self.parser->body_limit(boost::none);
        self.parser->skip(self.request.method() == http::verb::head);
        const auto error = co_await readHeader(self.socket, self.buffer, *self.parser);
        if (error)
            co_return std::nullopt;
        const auto& message = self.parser->get();
        const auto kind = responseKindOf(message);
        if (kind == ResponseKind::Malformed) {
            abort();
            co_return std::nullopt;
        }
        if (kind == ResponseKind::Interim)
            continue;

        // 2. Translated.
        ReplyHead head;
        head.status = static_cast<uint16_t>(message.result_int());
        head.headers = endToEndHeaders(message);
        if (const auto length = self.parser->content_length())
            head.contentLength = *length;
        head.hasBody = !self.parser->is_done();

        // 3. Kept, unless it belongs to another request.
        self.bodyLeft = head.status < firstFailure ? noLimit : failureBodyBytes;
        if (!isStray || !isStray(head))
            co_return head;
        const bool skipped = co_await skipAnswer();
        if (!skipped || !self.parser->keep_alive())
            co_return std::nullopt;
    }
    // The answer may still come, and must not be taken for that to the next request.
    abort();
    co_return std::nullopt;
}

Task<BodyPiece> BackendCall::readBody()
{
    auto& self = *m_implementation;
    auto piece = co_await readPiece(self.socket, self.buffer, *self.parser);
    // Whatever is wrong with an answer, its caller gets no more of it.
    if (piece.end == BodyEnd::Malformed)
        piece.end = BodyEnd::Cut;
    const bool endedWithConnection = piece.end == BodyEnd::Last && self.parser->need_eof();
    if (endedWithConnection && !self.hasOrderlyEnd())
        piece.end = BodyEnd::Cut;
    if (piece.bytes.size() > self.bodyLeft)
        co_return BodyPiece { {}, BodyEnd::Cut };
    self.bodyLeft -= piece.bytes.size();
    co_return piece;
}

void BackendCall::abort()
{
    m_implementation->aborted = true;
    ErrorCode ignored;
    m_implementation->socket.close(ignored);
}

BackendPool::BackendPool(boost::asio::io_context& context, size_t most)
    : m_implementation(std::make_shared<Implementation>(context, most))
{
}

BackendPool::~BackendPool() = default;

Task<std::shared_ptr<BackendCall>> BackendPool::connect(Endpoint endpoint, Strand strand, Duration patience)
{
    // 1. One that answered a moment ago.
    auto idle = m_implementation->take(endpoint);
    Place place(m_implementation);
    if (!place)
        co_return nullptr;
    if (idle) {
        co_return std::make_shared<BackendCall>(std::make_unique<BackendCall::Implementation>(
            m_implementation, std::move(place), endpoint, std::move(*idle)));
    }

    // 2. A new one.
    const auto address = tcpEndpoint(endpoint);
    if (!address)
        co_return nullptr;
    beast::basic_stream<Tcp, Strand> stream(strand);
    stream.expires_after(patience);
    ErrorCode error;
    co_await stream.async_connect(*address, redirect_error(useAwaitable, error));
    if (error)
        co_return nullptr;
    stream.socket().set_option(Tcp::no_delay(true), error);
    stream.expires_never();
    co_return std::make_shared<BackendCall>(std::make_unique<BackendCall::Implementation>(
        m_implementation, std::move(place), endpoint, stream.release_socket()));
}

} // namespace Vanillaridge

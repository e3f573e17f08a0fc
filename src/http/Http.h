/// HTTP/1.1 towards callers, backend servers and operators: a server whose exchanges stream bodies both ways, and
/// calls to backend servers over pooled connections. It translates, and decides nothing about requests.
///
/// Everything of one exchange or call runs on one strand; several threads may run the io_context.
#pragma once

#include "async/Async.h"
#include "buffers/Buffers.h"
#include "messages/Messages.h"

#include <boost/asio/io_context.hpp>
#include <limits>

namespace Vanillaridge {

/// What one server allows its callers.
struct HttpLimits {
    /// Bytes of request line and headers.
    uint32_t headBytes { 16 * 1024 };
    /// From the first byte of a request to the end of its head.
    Duration headTimeout { seconds(5) };
    /// Longest wait for the next piece of a body, and for the other side to take one.
    Duration pieceTimeout { seconds(10) };
    /// How long a connection may lie idle between requests.
    Duration idleTimeout { seconds(75) };
    /// Connections open at once. A further one takes the place of those that have carried nothing for longest: they
    /// wait for a request, or for the rest of a head that began more than headGrace ago. Where there are none it is
    /// closed.
    size_t connections { 4096 };
    Duration headGrace { seconds(1) };
    /// Bound on the bytes that the connections hold, and their part of it; null for none. Where it is reached, the
    /// connections that hold most for what their callers have moved are ended as if their time were over.
    BufferBudget* budget { nullptr };
    BufferSide side { BufferSide::Callers };
};

/// Largest piece of a body handled at once.
constexpr size_t bodyPieceBytes = 16 * 1024;

/// First header of that name, compared without case; empty when there is none.
std::string_view headerIn(std::span<const HeaderField>, std::string_view name);
/// The text in lower case, as hosts are compared.
std::string lowerCase(std::string_view);

/// Request line and headers, as sent or received.
struct RequestHead {
    std::string method;
    std::string target;
    std::vector<HeaderField> headers;
    bool hasBody { false };
    /// Absent for a body whose length is not known beforehand.
    std::optional<uint64_t> contentLength;

    std::string_view header(std::string_view name) const { return headerIn(headers, name); }
    /// The target up to its query.
    std::string_view path() const;
};

/// Status line and headers, as sent or received.
struct ReplyHead {
    uint16_t status { 200 };
    std::vector<HeaderField> headers;
    bool hasBody { false };
    std::optional<uint64_t> contentLength;
};

/// A whole small reply.
struct SimpleReply {
    uint16_t status { 200 };
    std::vector<HeaderField> headers;
    std::string body;
};

/// How reading the next piece of a body ended.
enum class BodyEnd : uint8_t { More, Last, Cut, TooSlow, Malformed };

struct BodyPiece {
    std::string bytes;
    BodyEnd end { BodyEnd::More };
};

/// Compares header names without case.
bool sameHeader(std::string_view, std::string_view);

/// When the head of a reply is written.
enum class HeadWriting : uint8_t {
    AtOnce,
    /// Together with the first piece of the body, which follows without a wait.
    WithBody,
};

/// One request on a connection, and the reply to it. To be used on its own strand only.
class HttpExchange {
public:
    struct Implementation;
    explicit HttpExchange(std::unique_ptr<Implementation>);
    ~HttpExchange();

    const RequestHead& head() const;
    const Strand& strand() const;

    /// The next piece of the request's body, at most bodyPieceBytes long.
    Task<BodyPiece> readBody();
    bool bodyFinished() const;
    /// Ends a reading of the body that is under way, as if the caller had ended the connection. Not while a reply is
    /// being written.
    void stopReading();

    /// Writes the reply's head. False when the caller cannot be reached any more.
    Task<bool> writeHead(ReplyHead, HeadWriting = HeadWriting::AtOnce);
    Task<bool> writeBody(std::string_view bytes, bool last);
    /// Writes a whole reply.
    Task<bool> reply(SimpleReply);
    bool replyStarted() const;

    /// Counts bytes that are kept for this exchange from now on, or less than before; false, and no change, if there is
    /// no room for them.
    bool holdBuffers(uint64_t bytes);
    /// The same for bytes that have to be kept, such as those of an answer.
    void forceBuffers(uint64_t bytes);

    /// Ends the connection after the reply, whatever has come behind the request.
    void closeAfterReply();

    /// Whether the caller's side of the connection has ended, as far as the machine knows by now.
    bool callerGone() const;
    /// Calls back once, on the strand, if the caller's side of the connection ends before the exchange does.
    /// To be called when the request's body has been read.
    void onCallerGone(std::function<void()>);

    /// Breaks the connection off, so that a reply under way is seen to be cut short.
    void abort();

private:
    std::unique_ptr<Implementation> m_implementation;
};

/// What became of a connection that somebody tried to open.
enum class Acceptance : uint8_t {
    Accepted,
    /// Accepted, and idle ones closed to make room for it.
    Displaced,
    /// Closed at once: as many as are allowed are in use.
    TurnedAway,
    /// Could not be accepted, for want of descriptors for instance.
    Failed,
};
constexpr size_t acceptanceCount = 4;

/// What a server does with requests. One object serves many exchanges at once.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;
    /// Serves one exchange. An exchange left without a whole reply is broken off.
    virtual Task<void> serve(std::shared_ptr<HttpExchange>) = 0;
    /// The reply to something that could not be read as a request.
    virtual SimpleReply rejection(Reason) = 0;
    /// Called for each connection attempt, from any thread.
    virtual void noteAcceptance(Acceptance) { }
    /// Called when connections were ended to make room for others' bytes, from any thread.
    virtual void noteBuffersFreed(size_t /*connections*/) { }
};

/// Why a server could not be started.
enum class HttpError : uint8_t { BadEndpoint, AddressInUse, Other };

/// Listens on one endpoint.
class HttpServer {
public:
    HttpServer(boost::asio::io_context&, HttpLimits, HttpHandler&);
    ~HttpServer();

    /// Binds and starts to accept; nothing when it worked.
    std::optional<HttpError> listen(const Endpoint&);
    /// Where it listens; of use when the port was given as 0.
    Endpoint endpoint() const;
    /// From now on each reply ends its connection.
    void closeAfterReplies();
    /// Takes no new connections. Those that wait for a request are closed at once, without a reply to what they may not
    /// have read; the others end after the reply to the last request that has been read.
    void drain();
    /// Connections over which a request may come, is being read, or is being answered.
    size_t connections() const;
    /// Requests whose first byte has come and whose reply is not written to its end.
    size_t exchanges() const;

private:
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

/// One request to a backend server. To be used on the strand it was made with.
class BackendCall {
public:
    struct Implementation;
    explicit BackendCall(std::unique_ptr<Implementation>);
    ~BackendCall();

    Task<bool> writeHead(RequestHead);
    Task<bool> writeBody(std::string_view bytes, bool last);
    /// Tells an answer that belongs to some other request.
    using StrayTest = std::function<bool(const ReplyHead&)>;
    /// The answer's head; nothing when the connection ended before it came, or too much came that is no answer to this
    /// request. A few stray answers are passed over.
    Task<std::optional<ReplyHead>> readHead(StrayTest isStray = {});
    /// The next piece of the answer's body. That of a failure is cut when it gets too long.
    Task<BodyPiece> readBody();

    /// Closes the connection, which tells the backend server that the answer is no longer wanted. Reads and writes
    /// under way end.
    void abort();

private:
    Task<bool> skipAnswer();

    std::unique_ptr<Implementation> m_implementation;
};

/// Connections to backend servers, kept for a short while between calls.
class BackendPool {
public:
    struct Implementation;
    /// \param most connections that are open at once; beyond it idle ones are closed, and then none is made
    explicit BackendPool(boost::asio::io_context&, size_t most = std::numeric_limits<size_t>::max());
    ~BackendPool();

    /// A connection on the given strand: an idle one that answered a moment ago, or a new one. Null when the backend
    /// server took no connection within the patience, or too many are open: nothing has been sent to it then.
    Task<std::shared_ptr<BackendCall>> connect(Endpoint, Strand, Duration patience);

private:
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Vanillaridge

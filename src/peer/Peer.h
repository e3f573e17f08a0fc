/// Transport between nodes: streams of messages for requests over a few TCP connections, and control messages over
/// those connections or as UDP datagrams. It carries messages and decides nothing about them.
///
/// May be used by several threads at once.
#pragma once

#include "async/Async.h"
#include "board/Board.h"
#include "verdict/Verdict.h"
#include "wire/Wire.h"

#include <boost/asio/io_context.hpp>

namespace Vanillaridge {

/// Body bytes that may be on their way on one stream before the other side asks for more.
constexpr int64_t initialBodyCredit = 64 * 1024;

/// Messages of one request between two nodes, in both directions and in order. One coroutine may receive and another
/// send bodies at the same time; sending and closing may come from anywhere.
class MessageStream {
public:
    virtual ~MessageStream() = default;

    /// The next message; nothing once the stream is closed or its connection lost.
    virtual Task<std::optional<StreamMessage>> receive() = 0;
    /// The next message, if it has arrived.
    virtual std::optional<StreamMessage> takeNow() = 0;
    /// Hands a message to the connection. False when the connection is lost: then it may or may not arrive.
    virtual bool send(StreamMessage) = 0;
    /// Sends a piece of a body as soon as the other side has room for it. False when the stream has ended.
    virtual Task<bool> sendBody(BodyChunk) = 0;
    /// Sends no further piece of a body; whoever waits for room is woken. Other messages are sent as before.
    virtual void stopBody() = 0;
    /// Tells the other side that there is room for so many further body bytes.
    virtual void grantCredit(size_t bytes) = 0;
    /// Keeps the stream open while its connection is silent, until the connection breaks or either side closes the
    /// stream. For a request that cannot be repeated: what runs on the other side may still be answered.
    /// \param whenSilent called at most once, from any thread, when the connection is found to be silent
    virtual void waitThroughSilence(std::function<void()> whenSilent) = 0;
    /// Ends the stream on this side: whoever receives or waits for room is woken.
    virtual void close() = 0;
    /// The node at the other end.
    virtual const Hello& peer() const = 0;
};

/// What a piece of a body costs of the credit. Small pieces cost more than their bytes, so that credit bounds the
/// number of messages too.
size_t creditOf(const BodyChunk&);

using MessageStreamPointer = std::shared_ptr<MessageStream>;

/// What a node does with what comes from others. Called from any thread.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;
    /// Serves a request that another node opened, whose clock tells how old the message may be.
    virtual Task<void> serve(MessageStreamPointer, OpenRequest, PeerClock) = 0;
    virtual VerdictReply verdict(const VerdictQuery&, const Hello& sender, const PeerClock&) = 0;
    virtual void control(const Endpoint& from, const ControlMessage&) = 0;
};

struct PeerSettings {
    /// Longest wait for a new connection to be ready.
    Duration connectTimeout { seconds(1) };
    /// A connection in use, by requests or by a control message that it has carried, is pinged after so much silence,
    /// and counts as silent after so much more: it takes no new requests and is given up, except for streams that wait
    /// through silence.
    Duration pingAfter { milliseconds(500) };
    Duration pingTimeout { seconds(1) };
    /// How often a connection in use ties the other side's clock to ours anew.
    Duration clockPeriod { seconds(30) };
    /// A connection without requests is closed after so long.
    Duration idleTimeout { seconds(60) };
};

/// Why the transport could not be started.
enum class PeerError : uint8_t { BadEndpoint, AddressInUse, Other };

class PeerTransport {
public:
    PeerTransport(boost::asio::io_context&, Board&, const Clock&, RandomSource&, std::string_view sharedSecret,
        PeerHandler&, PeerSettings = {});
    ~PeerTransport();

    /// Binds TCP and UDP to the node's own endpoint; nothing when it worked.
    std::optional<PeerError> start();
    /// Closes every socket.
    void stop();

    /// A stream to the node at this endpoint. Null when there is no connection to it: nothing has been sent then.
    Task<MessageStreamPointer> open(Endpoint);
    /// Connections with messages that are not written yet.
    size_t unsent() const;
    /// Asks over a connection of its own; nothing when no reply came in time.
    Task<std::optional<VerdictReply>> askVerdict(Endpoint, VerdictQuery);

private:
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace Vanillaridge

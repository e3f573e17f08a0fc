/// Streams of messages: what those over a connection and those within a node have in common.
#pragma once

#include "peer/Peer.h"

#include <functional>
#include <mutex>

namespace Vanillaridge {

/// Keeps what has arrived until it is received, and the credit for bodies.
class QueuedStream : public MessageStream, public std::enable_shared_from_this<QueuedStream> {
public:
    QueuedStream();

    Task<std::optional<StreamMessage>> receive() override;
    std::optional<StreamMessage> takeNow() override { return m_arrivals.takeNow(); }
    Task<bool> sendBody(BodyChunk) override;
    void stopBody() override;
    void grantCredit(size_t bytes) override;
    void waitThroughSilence(std::function<void()> whenSilent) override;
    void close() override;

    /// A message arrived for this stream. False when the other side sent more than it had credit for.
    bool deliver(StreamMessage);
    /// The connection is gone: what has arrived can still be received.
    void lose();
    /// The connection is silent. False if the stream does not wait through that.
    bool noteSilence();

protected:
    bool hasStopped();

private:
    /// Waits until what carries the stream takes a further piece of a body; false once the stream has been stopped.
    virtual Task<bool> awaitRoom();
    /// Wakes whoever waits for room although none has come, since the stream may have been stopped.
    virtual void wakeForRoom() { }
    void addCredit(uint64_t bytes);

    Mailbox<StreamMessage> m_arrivals;
    Event m_creditAdded;
    std::mutex m_lock;
    int64_t m_credit { initialBodyCredit };
    bool m_bodyStopped { false };
    bool m_closed { false };
    bool m_waitsThroughSilence { false };
    std::function<void()> m_whenSilent;
};

/// A pair of streams that lead to each other, for a request whose backend server is beside the node it entered.
std::pair<MessageStreamPointer, MessageStreamPointer> makeLocalStreams(const Hello& self);

} // namespace Vanillaridge

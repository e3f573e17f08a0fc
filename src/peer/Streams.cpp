#include "peer/Streams.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    // Beside bodies, which credit bounds, a stream has a handful of messages at a time.
    constexpr size_t queuedMessages = 1024;
    constexpr size_t smallestCharge = 1024;

} // namespace

size_t creditOf(const BodyChunk& chunk) { return std::max(chunk.bytes.size(), smallestCharge); }

QueuedStream::QueuedStream()
    : m_arrivals(queuedMessages)
{
}

Task<std::optional<StreamMessage>> QueuedStream::receive()
{
    const auto self = shared_from_this();
    auto message = co_await m_arrivals.receive();
    co_return std::move(message);
}

Task<bool> QueuedStream::sendBody(BodyChunk chunk)
{
    const auto self = shared_from_this();
    while (true) {
        {
            std::lock_guard guard(m_lock);
            if (m_closed || m_bodyStopped)
                co_return false;
            if (m_credit > 0) {
                m_credit -= static_cast<int64_t>(creditOf(chunk));
                break;
            }
        }
        const bool added = co_await m_creditAdded.wait();
        if (!added)
            co_return false;
    }
    const bool hasRoom = co_await awaitRoom();
    if (!hasRoom)
        co_return false;
    co_return send(std::move(chunk));
}

bool QueuedStream::hasStopped()
{
    std::lock_guard guard(m_lock);
    return m_closed || m_bodyStopped;
}

Task<bool> QueuedStream::awaitRoom() { co_return true; }

void QueuedStream::stopBody()
{
    {
        std::lock_guard guard(m_lock);
        m_bodyStopped = true;
    }
    m_creditAdded.close();
    wakeForRoom();
}

void QueuedStream::grantCredit(size_t bytes)
{
    if (bytes)
        send(BodyCredit { bytes });
}

void QueuedStream::addCredit(uint64_t bytes)
{
    {
        std::lock_guard guard(m_lock);
        m_credit += static_cast<int64_t>(bytes);
    }
    m_creditAdded.set();
}

bool QueuedStream::deliver(StreamMessage message)
{
    if (const auto* credit = std::get_if<BodyCredit>(&message)) {
        addCredit(credit->bytes);
        return true;
    }
    return m_arrivals.put(std::move(message)) || m_arrivals.closed();
}

void QueuedStream::waitThroughSilence(std::function<void()> whenSilent)
{
    std::lock_guard guard(m_lock);
    m_waitsThroughSilence = true;
    m_whenSilent = std::move(whenSilent);
}

bool QueuedStream::noteSilence()
{
    std::function<void()> whenSilent;
    {
        std::lock_guard guard(m_lock);
        if (!m_waitsThroughSilence || m_closed)
            return false;
        whenSilent = std::exchange(m_whenSilent, {});
    }
    if (whenSilent)
        whenSilent();
    return true;
}

void QueuedStream::lose()
{
    {
        std::lock_guard guard(m_lock);
        m_closed = true;
    }
    m_arrivals.close();
    m_creditAdded.close();
    wakeForRoom();
}

void QueuedStream::close() { lose(); }

namespace {

    // One end of a pair within a node.
    class LocalStream final : public QueuedStream {
    public:
        explicit LocalStream(Hello self)
            : m_self(std::move(self))
        {
        }

        static void join(const std::shared_ptr<LocalStream>& left, const std::shared_ptr<LocalStream>& right)
        {
            left->m_other = right;
            right->m_other = left;
        }

        bool send(StreamMessage message) override
        {
            const auto other = m_other.lock();
            return other && other->deliver(std::move(message));
        }

        void close() override
        {
            lose();
            if (const auto other = m_other.lock())
                other->lose();
        }

        const Hello& peer() const override { return m_self; }

    private:
        Hello m_self;
        std::weak_ptr<LocalStream> m_other;
    };

} // namespace

std::pair<MessageStreamPointer, MessageStreamPointer> makeLocalStreams(const Hello& self)
{
    const auto left = std::make_shared<LocalStream>(self);
    const auto right = std::make_shared<LocalStream>(self);
    LocalStream::join(left, right);
    return { left, right };
}

} // namespace Vanillaridge

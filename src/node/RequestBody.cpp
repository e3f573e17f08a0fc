#include "node/RequestBody.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Vanillaridge {

namespace {

    // Room that a stream has before its backend server starts: as much as can be sent again elsewhere.
    constexpr size_t replayLimit = initialBodyCredit;

} // namespace

RequestBody::RequestBody(std::shared_ptr<HttpExchange> exchange, uint64_t limit, std::function<void()> onComplete)
    : m_exchange(std::move(exchange))
    , m_limit(limit)
    , m_onComplete(std::move(onComplete))
{
}

bool RequestBody::holdForReplay()
{
    m_isHeld = m_replayable;
    return m_isHeld;
}

// What is kept to be sent again, and what is on its way to a guard that has not started the request.
bool RequestBody::holdBuffers()
{
    constexpr uint64_t most = replayLimit + static_cast<uint64_t>(initialBodyCredit);
    const auto& head = m_exchange->head();
    return !head.hasBody || m_exchange->holdBuffers(std::min<uint64_t>(most, head.contentLength.value_or(most)));
}

void RequestBody::startSending(MessageStreamPointer stream)
{
    m_sending = true;
    m_isHeld = false;
    boost::asio::co_spawn(m_exchange->strand(), run(shared_from_this(), std::move(stream)), boost::asio::detached);
}

Task<bool> RequestBody::join()
{
    const auto self = shared_from_this();
    // The event may still be set by an attempt whose sending had ended before it was waited for.
    while (m_sending && !m_isInterrupted)
        co_await m_ended.wait();
    co_return !m_sending;
}

void RequestBody::interruptJoin()
{
    m_isInterrupted = true;
    m_ended.set();
}

Task<void> RequestBody::finish()
{
    const auto self = shared_from_this();
    // Once the body is whole, the connection is read for the next request, which goes on.
    if (m_isReading)
        m_exchange->stopReading();
    while (m_sending)
        co_await m_ended.wait();
}

Task<void> RequestBody::run(std::shared_ptr<RequestBody> self, MessageStreamPointer stream)
{
    co_await self->send(stream);
}

Task<void> RequestBody::send(MessageStreamPointer stream)
{
    bool open = co_await resend(*stream);
    while (open && !m_complete)
        open = co_await readAndSend(*stream);
    m_sending = false;
    m_ended.set();
}

// What an earlier attempt has read already.
Task<bool> RequestBody::resend(MessageStream& stream)
{
    for (size_t sent = 0; sent < m_kept.size(); sent += bodyPieceBytes) {
        BodyChunk chunk { m_kept.substr(sent, bodyPieceBytes), false };
        const bool taken = co_await stream.sendBody(std::move(chunk));
        if (!taken)
            co_return false;
    }
    if (!m_complete)
        co_return true;
    BodyChunk end { {}, true };
    co_return co_await stream.sendBody(std::move(end));
}

Task<bool> RequestBody::readAndSend(MessageStream& stream)
{
    // 1. The next piece.
    m_isReading = true;
    auto piece = co_await m_exchange->readBody();
    m_isReading = false;
    m_read += piece.bytes.size();
    if (piece.end == BodyEnd::Cut)
        m_failure = Reason::CallerGone;
    else if (piece.end == BodyEnd::TooSlow)
        m_failure = Reason::SlowCaller;
    else if (piece.end == BodyEnd::Malformed)
        m_failure = Reason::MalformedBody;
    else if (m_read > m_limit)
        m_failure = Reason::BodyTooLarge;
    if (m_failure != Reason::None) {
        // A caller that breaks the limits is not read on, even if the end of the body has come with the last piece.
        m_exchange->closeAfterReply();
        // Nodes of an earlier version do not know MalformedBody.
        stream.send(CancelRequest { m_failure == Reason::MalformedBody ? Reason::CallerGone : m_failure });
        co_return false;
    }

    // 2. Kept before it is sent, so that nothing is lost if the stream ends meanwhile.
    keep(piece.bytes);
    m_complete = piece.end == BodyEnd::Last;
    if (m_complete)
        m_onComplete();
    BodyChunk chunk { std::move(piece.bytes), m_complete };
    co_return co_await stream.sendBody(std::move(chunk));
}

void RequestBody::keep(std::string_view bytes)
{
    m_replayable = m_replayable && (m_isHeld || m_kept.size() + bytes.size() <= replayLimit);
    if (!m_replayable) {
        m_kept = std::string();
        return;
    }
    // Grows no further than what may be kept: most bodies that are kept are short.
    if (m_kept.capacity() - m_kept.size() < bytes.size())
        m_kept.reserve(std::max(m_kept.size() + bytes.size(), std::min<size_t>(2 * m_kept.size(), replayLimit)));
    m_kept += bytes;
}

} // namespace Vanillaridge

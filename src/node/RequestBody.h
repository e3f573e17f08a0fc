/// A request's body on its way from the caller to whichever guard has the present attempt. Private to the node library.
#pragma once

#include "http/Http.h"
#include "peer/Peer.h"

#include <functional>

namespace Vanillaridge {

/// Reads the body from the exchange as room appears in the attempt's stream. What has been read is kept while it is
/// short enough to be sent to another guard; a guard gives more room only once its backend server has started.
/// Used on the exchange's strand only.
class RequestBody : public std::enable_shared_from_this<RequestBody> {
public:
    /// \param limit bytes \param onComplete called once, when the body has been read to its end
    RequestBody(std::shared_ptr<HttpExchange>, uint64_t limit, std::function<void()> onComplete);

    /// Whether all that was read can be sent again. If so, it stays so until the next attempt: a piece that is still
    /// being read for the present one is kept beyond the limit.
    bool holdForReplay();
    /// Counts the bytes that the body may take up here; false if there is no room for them.
    bool holdBuffers();
    /// Why the body could not be passed on whole; None as long as it can.
    Reason failure() const { return m_failure; }
    /// Whether no server would take the body, whatever its pace: a repeat would fail in the same way.
    bool isInvalid() const { return m_failure == Reason::BodyTooLarge || m_failure == Reason::MalformedBody; }
    /// Passes the body to the stream, from its beginning; the sending of an earlier attempt must have been joined.
    void startSending(MessageStreamPointer);
    /// Waits until nothing is read from the exchange for the present attempt any more, or until interrupted. The stream
    /// must have been closed. False if something is still being read, so that no attempt may begin.
    Task<bool> join();
    /// Ends the waiting in join(): the request's time is over, whatever its caller still sends.
    void interruptJoin();
    /// Ends the reading of what the caller still sends, and waits for its end. The reply must have been written.
    Task<void> finish();

private:
    static Task<void> run(std::shared_ptr<RequestBody>, MessageStreamPointer);
    Task<void> send(MessageStreamPointer);
    Task<bool> resend(MessageStream&);
    Task<bool> readAndSend(MessageStream&);
    void keep(std::string_view bytes);

    std::shared_ptr<HttpExchange> m_exchange;
    const uint64_t m_limit;
    const std::function<void()> m_onComplete;
    std::string m_kept;
    bool m_replayable { true };
    // Whether the next attempt has been promised all that was read.
    bool m_isHeld { false };
    bool m_complete { false };
    uint64_t m_read { 0 };
    Reason m_failure { Reason::None };
    bool m_sending { false };
    bool m_isReading { false };
    bool m_isInterrupted { false };
    Event m_ended;
};

} // namespace Vanillaridge

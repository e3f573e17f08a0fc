/// Encoding of messages between nodes, and their authentication.
///
/// The only library that knows how a message looks as bytes. It decides nothing: it turns typed messages into frames
/// and datagrams and back, and whatever is malformed, truncated, oversized or forged into a WireError. Decoding never
/// reads past its input, and allocates no more than a small multiple of it.
///
/// A frame on a connection is
///     4 bytes  length of the payload, little endian
///     16 bytes MAC
///     payload: protocol version (1 byte), stream number (8 bytes), kind of message (1 byte), its fields
/// A datagram is
///     16 bytes MAC
///     payload: protocol version, sender's endpoint, boot id, time of sending, kind of message, its fields
#pragma once

#include "messages/Messages.h"

#include <boost/leaf/result.hpp>
#include <cstddef>

namespace Vanillaridge {

namespace leaf = boost::leaf;

/// Why bytes from another node were not taken for a message.
enum class WireError : uint8_t {
    /// The input ended before the message did.
    Truncated,
    /// The length exceeds its limit.
    TooLong,
    /// Bytes were left over after the message.
    TrailingBytes,
    /// The sender speaks another version of the protocol.
    BadVersion,
    /// There is no such kind of message.
    BadKind,
    /// A field is outside its range.
    BadValue,
    /// The MAC is wrong: forged, damaged, replayed, reordered, meant for somebody else, or under another secret.
    BadMac,
    /// The handshake was turned back on its sender, or came out of turn.
    BadHandshake,
};
std::string_view toText(WireError);

constexpr uint8_t protocolVersion = 4;
/// Bytes of a MAC: HMAC-SHA256 cut to its first half.
constexpr size_t macSize = 16;
/// Bytes of a frame before its payload.
constexpr size_t frameHeaderSize = sizeof(uint32_t) + macSize;
/// Bytes of the longest payload of a frame.
constexpr size_t maximumPayload = size_t(1) << 20;
/// Bytes of the longest datagram.
constexpr size_t maximumDatagram = 60'000;
/// Stream number of messages that belong to no request.
constexpr uint64_t controlStream = 0;

using Bytes = std::span<const std::byte>;
/// The bytes of a text or buffer, without a copy.
inline Bytes bytesOf(std::string_view text) { return std::as_bytes(std::span(text)); }

/// A message and the stream that it belongs to.
struct Frame {
    uint64_t stream { controlStream };
    StreamMessage message;
};

/// Appends a frame's payload, without length and MAC.
void encodeFrame(std::string& out, uint64_t stream, const StreamMessage&);
std::string encodeFrame(uint64_t stream, const StreamMessage&);
/// Reads what encodeFrame wrote. Errors: WireError.
leaf::result<Frame> decodeFrame(Bytes payload);

/// A control message as it came in one datagram.
struct Datagram {
    Endpoint from;
    BootId boot;
    /// The sender's BootClock when it sent this.
    Duration sentAt { 0 };
    ControlMessage message;
};

/// Reads the length at the start of a frame's header. Errors: TooLong, Truncated (the payload is empty).
leaf::result<size_t> payloadSize(std::span<const std::byte, frameHeaderSize> header);

/// One authenticated connection, after both Hellos. Each direction has its own key, made from both sides' nonces,
/// endpoints and boot ids, and each frame's MAC covers its number in that direction: a frame that is replayed,
/// reordered, left out, turned back or taken from another connection is BadMac.
///
/// One thread at a time may seal and one at a time may open; the two do not disturb each other.
class Session {
public:
    ~Session();
    Session(Session&&) noexcept;
    Session& operator=(Session&&) noexcept;

    /// The node at the other end, as its Hello named it.
    const Hello& peer() const;

    /// Appends a whole frame, so that several can go in one write. A message longer than maximumPayload is an error of
    /// the sender: TooLong, and nothing is appended.
    leaf::result<void> seal(std::string& out, uint64_t stream, const StreamMessage&);
    /// Checks and reads one frame. After an error the connection must be closed.
    leaf::result<Frame> open(std::span<const std::byte, frameHeaderSize> header, Bytes payload);

private:
    friend class Authenticator;
    struct Keys;
    explicit Session(std::unique_ptr<Keys>);
    std::unique_ptr<Keys> m_keys;
};

/// Knows the fleet's shared secret. May be used by several threads at once.
class Authenticator {
public:
    explicit Authenticator(std::string_view sharedSecret);
    ~Authenticator();
    Authenticator(Authenticator&&) noexcept;
    Authenticator& operator=(Authenticator&&) noexcept;

    /// The bytes that begin a connection: a frame with this Hello. Its MAC proves the secret, but anybody who
    /// overheard it could send it again; what follows under the session's keys could not.
    std::string sealHello(const Hello&) const;
    /// Checks and reads the other side's first frame. Errors: WireError.
    leaf::result<Hello> openHello(std::span<const std::byte, frameHeaderSize> header, Bytes payload) const;
    /// The session between the sender of `own` and that of `peer`. Errors: BadHandshake (the peer's nonce is our own,
    /// or its protocol differs).
    leaf::result<Session> session(const Hello& own, const Hello& peer) const;

    /// A datagram to the receiver. Its MAC covers the receiver, so it cannot be sent on to somebody else. It can be
    /// sent again to the same receiver, so handlers must not mind repeats: probes are answered again, updates are
    /// merged by incarnation and version, acknowledgements count only for an outstanding sequence number, and
    /// whatever ages must be checked against `sentAt`. Errors: TooLong.
    leaf::result<std::string> seal(const Datagram&, std::string_view receiver) const;
    /// Checks and reads a datagram that reached `receiver`. Errors: WireError.
    leaf::result<Datagram> open(Bytes datagram, std::string_view receiver) const;

private:
    struct Secret;
    std::unique_ptr<const Secret> m_secret;
};

} // namespace Vanillaridge

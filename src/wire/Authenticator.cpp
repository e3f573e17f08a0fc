#include "wire/Codec.h"
#include "wire/Mac.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <cstring>

namespace Vanillaridge {

namespace {

    // Each use of the secret has its own label, so that no MAC made for one passes for another.
    constexpr std::string_view helloLabel = "vanillaridge hello";
    constexpr std::string_view sessionLabel = "vanillaridge session";
    constexpr std::string_view datagramLabel = "vanillaridge datagram";

    template <typename Number> Bytes bytesOfNumber(const Number& number)
    {
        return std::as_bytes(std::span(&number, 1));
    }

    // Leaves room for a frame's header at the end of the buffer.
    size_t reserveHeader(std::string& out)
    {
        const size_t start = out.size();
        out.append(frameHeaderSize, '\0');
        return start;
    }

    // Writes the header into the room that was left for it.
    void writeHeader(std::string& out, size_t start, const MacBytes& mac)
    {
        const auto size = static_cast<uint32_t>(out.size() - start - frameHeaderSize);
        std::memcpy(out.data() + start, &size, sizeof size);
        std::memcpy(out.data() + start + sizeof size, mac.data(), macSize);
    }

    Bytes payloadFrom(const std::string& out, size_t start) { return bytesOf(out).subspan(start + frameHeaderSize); }

    // Everything that tells one end of a connection from all others.
    void addHello(Mac& mac, const Hello& hello)
    {
        mac.addField(bytesOf(hello.endpoint));
        mac.addField(bytesOfNumber(hello.boot.value));
        mac.addField(std::as_bytes(std::span(hello.nonce)));
    }

} // namespace

// --- Sessions -----------------------------------------------------------------------------------------------------

struct Session::Keys {
    // One direction: its key, and the number of the next frame.
    struct Direction {
        Mac mac;
        uint64_t next { 0 };

        MacBytes compute(Bytes payload)
        {
            mac.begin();
            mac.add(bytesOfNumber(next));
            mac.add(payload);
            return mac.finish();
        }
    };

    Hello peer;
    Direction outgoing;
    Direction incoming;
};

Session::Session(std::unique_ptr<Keys> keys)
    : m_keys(std::move(keys))
{
}

Session::~Session() = default;
Session::Session(Session&&) noexcept = default;
Session& Session::operator=(Session&&) noexcept = default;

const Hello& Session::peer() const { return m_keys->peer; }

leaf::result<void> Session::seal(std::string& out, uint64_t stream, const StreamMessage& message)
{
    const size_t start = reserveHeader(out);
    encodeFrame(out, stream, message);
    const auto payload = payloadFrom(out, start);
    if (payload.size() > maximumPayload) {
        out.resize(start);
        return leaf::new_error(WireError::TooLong);
    }
    writeHeader(out, start, m_keys->outgoing.compute(payload));
    ++m_keys->outgoing.next;
    return {};
}

leaf::result<Frame> Session::open(std::span<const std::byte, frameHeaderSize> header, Bytes payload)
{
    const auto expected = m_keys->incoming.compute(payload);
    if (!equalMacs(expected, header.last<macSize>()))
        return leaf::new_error(WireError::BadMac);
    ++m_keys->incoming.next;
    return decodeFrame(payload);
}

// --- The shared secret ----------------------------------------------------------------------------------------------

struct Authenticator::Secret {
    // A MAC of its own for each caller, so that threads need no lock.
    Mac begin(std::string_view label) const
    {
        Mac copy(mac);
        copy.begin();
        copy.addField(bytesOf(label));
        return copy;
    }

    // The key of the direction from one end to the other.
    Mac directionKey(const Hello& from, const Hello& to) const
    {
        auto derivation = begin(sessionLabel);
        addHello(derivation, from);
        addHello(derivation, to);
        return Mac(derivation.finishWhole());
    }

    MacBytes helloMac(Bytes payload) const
    {
        auto hello = begin(helloLabel);
        hello.add(payload);
        return hello.finish();
    }

    MacBytes datagramMac(Bytes payload, std::string_view receiver) const
    {
        auto datagram = begin(datagramLabel);
        datagram.addField(bytesOf(receiver));
        datagram.add(payload);
        return datagram.finish();
    }

    Mac mac;
};

Authenticator::Authenticator(std::string_view sharedSecret)
    : m_secret(std::make_unique<const Secret>(Secret { Mac(bytesOf(sharedSecret)) }))
{
}

Authenticator::~Authenticator() = default;
Authenticator::Authenticator(Authenticator&&) noexcept = default;
Authenticator& Authenticator::operator=(Authenticator&&) noexcept = default;

std::string Authenticator::sealHello(const Hello& hello) const
{
    std::string out;
    const size_t start = reserveHeader(out);
    encodeFrame(out, controlStream, hello);
    writeHeader(out, start, m_secret->helloMac(payloadFrom(out, start)));
    return out;
}

leaf::result<Hello> Authenticator::openHello(std::span<const std::byte, frameHeaderSize> header, Bytes payload) const
{
    if (!equalMacs(m_secret->helloMac(payload), header.last<macSize>()))
        return leaf::new_error(WireError::BadMac);
    BOOST_LEAF_AUTO(frame, decodeFrame(payload));
    if (auto* hello = std::get_if<Hello>(&frame.message))
        return std::move(*hello);
    return leaf::new_error(WireError::BadHandshake);
}

leaf::result<Session> Authenticator::session(const Hello& own, const Hello& peer) const
{
    if (own.nonce == peer.nonce || own.protocol != peer.protocol)
        return leaf::new_error(WireError::BadHandshake);
    return Session(std::make_unique<Session::Keys>(
        Session::Keys { peer, { m_secret->directionKey(own, peer) }, { m_secret->directionKey(peer, own) } }));
}

leaf::result<std::string> Authenticator::seal(const Datagram& datagram, std::string_view receiver) const
{
    std::string out(macSize, '\0');
    encodeDatagram(out, datagram);
    if (out.size() > maximumDatagram)
        return leaf::new_error(WireError::TooLong);
    const auto mac = m_secret->datagramMac(bytesOf(out).subspan(macSize), receiver);
    std::memcpy(out.data(), mac.data(), macSize);
    return out;
}

leaf::result<Datagram> Authenticator::open(Bytes datagram, std::string_view receiver) const
{
    if (datagram.size() > maximumDatagram)
        return leaf::new_error(WireError::TooLong);
    if (datagram.size() < macSize)
        return leaf::new_error(WireError::Truncated);
    const auto payload = datagram.subspan(macSize);
    if (!equalMacs(m_secret->datagramMac(payload, receiver), datagram.first<macSize>()))
        return leaf::new_error(WireError::BadMac);
    return decodeDatagram(payload);
}

} // namespace Vanillaridge

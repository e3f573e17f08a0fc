#include "wire/Wire.h"

#include "wire/Codec.h"
#include "wire/Fields.h"

#include <boost/leaf/error.hpp>

namespace Vanillaridge {

namespace {

    constexpr std::array<std::string_view, 8> errorNames { "truncated", "too-long", "trailing-bytes", "bad-version",
        "bad-kind", "bad-value", "bad-mac", "bad-handshake" };

    // Checks the version before anything whose meaning depends on it.
    void readVersion(ByteInput& input)
    {
        uint8_t version = 0;
        input(version);
        if (version != protocolVersion)
            throw DecodingFailure { WireError::BadVersion };
    }

    // Runs a decoder over the whole input, and turns cereal's way of failing into ours.
    template <typename Decode>
    auto decodeWhole(Bytes bytes, Decode&& decode) -> leaf::result<decltype(decode(std::declval<ByteInput&>()))>
    {
        try {
            ByteInput input(bytes);
            readVersion(input);
            auto decoded = decode(input);
            if (input.remaining())
                return leaf::new_error(WireError::TrailingBytes);
            return decoded;
        } catch (const DecodingFailure& failure) {
            return leaf::new_error(failure.error);
        }
    }

} // namespace

std::string_view toText(WireError error) { return errorNames[static_cast<size_t>(error)]; }

void encodeFrame(std::string& out, uint64_t stream, const StreamMessage& message)
{
    ByteOutput output(out);
    output(protocolVersion, stream, message);
}

std::string encodeFrame(uint64_t stream, const StreamMessage& message)
{
    std::string out;
    encodeFrame(out, stream, message);
    return out;
}

leaf::result<Frame> decodeFrame(Bytes payload)
{
    if (payload.size() > maximumPayload)
        return leaf::new_error(WireError::TooLong);
    return decodeWhole(payload, [](ByteInput& input) {
        Frame frame;
        input(frame.stream, frame.message);
        return frame;
    });
}

void encodeDatagram(std::string& out, const Datagram& datagram)
{
    ByteOutput output(out);
    output(protocolVersion, datagram.from, datagram.boot, datagram.sentAt, datagram.message);
}

leaf::result<Datagram> decodeDatagram(Bytes payload)
{
    return decodeWhole(payload, [](ByteInput& input) {
        Datagram datagram;
        input(datagram.from, datagram.boot, datagram.sentAt, datagram.message);
        return datagram;
    });
}

leaf::result<size_t> payloadSize(std::span<const std::byte, frameHeaderSize> header)
{
    uint32_t size = 0;
    std::memcpy(&size, header.data(), sizeof size);
    if (size > maximumPayload)
        return leaf::new_error(WireError::TooLong);
    if (!size)
        return leaf::new_error(WireError::Truncated);
    return size;
}

} // namespace Vanillaridge

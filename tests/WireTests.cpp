// libraries: wire
#include "WireGenerators.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>
#include <cstring>

using namespace Vanillaridge;

namespace {

// The error that a decoder reports; nothing when it succeeds.
template <typename Decode> std::optional<WireError> errorOf(Decode&& decode)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<WireError>> {
            if (auto result = decode(); !result)
                return result.error();
            return std::optional<WireError>();
        },
        [](WireError error) { return std::optional(error); }, [] { return std::optional<WireError>(); });
}

std::optional<WireError> decodingError(std::string_view bytes)
{
    return errorOf([&] { return decodeFrame(bytesOf(bytes)); });
}

// Whether what decodes from these bytes encodes to the same bytes: then no field was lost or changed.
bool survivesRoundTrip(std::string_view bytes)
{
    const auto frame = decodeFrame(bytesOf(bytes));
    return frame && encodeFrame(frame->stream, frame->message) == bytes;
}

const Hello alice { "127.0.0.1:7000", { 11 }, { 1, 2, 3 }, protocolVersion };
const Hello bob { "127.0.0.1:7001", { 22 }, { 4, 5, 6 }, protocolVersion };

// Both ends of one connection.
struct Connection {
    Authenticator secret { "a shared secret" };
    Session fromAlice { secret.session(alice, bob).value() };
    Session fromBob { secret.session(bob, alice).value() };
};

std::string sealed(Session& session, const StreamMessage& message)
{
    std::string out;
    BOOST_REQUIRE(session.seal(out, 7, message));
    return out;
}

std::span<const std::byte, frameHeaderSize> headerOf(std::string_view frame)
{
    return bytesOf(frame).first<frameHeaderSize>();
}

Bytes payloadOf(std::string_view frame) { return bytesOf(frame).subspan(frameHeaderSize); }

std::optional<WireError> openingError(Session& session, std::string_view frame)
{
    return errorOf([&] { return session.open(headerOf(frame), payloadOf(frame)); });
}

std::string flipped(std::string bytes, size_t bit)
{
    bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << (bit % 8)));
    return bytes;
}

constexpr auto badMac = WireError::BadMac;

} // namespace

BOOST_AUTO_TEST_SUITE(GivenAnyMessage)

BOOST_AUTO_TEST_SUITE(WhenItIsEncoded)

BOOST_AUTO_TEST_CASE(ThenItsKindStreamAndFieldsComeBack)
{
    BOOST_TEST(rc::check("every message survives a round trip", [] {
        const auto stream = *rc::gen::arbitrary<uint64_t>();
        const auto message = draw<StreamMessage>();
        const auto bytes = encodeFrame(stream, message);
        const auto frame = decodeFrame(bytesOf(bytes));
        RC_ASSERT(frame);
        RC_ASSERT(frame->stream == stream);
        RC_ASSERT(frame->message.index() == message.index());
        RC_ASSERT(survivesRoundTrip(bytes));
    }));
}

BOOST_AUTO_TEST_CASE(ThenEveryFieldIsThere)
{
    const OpenRequest open { { { { { 1 }, { 2 }, 3 }, 4 }, "account", "route", "service",
                                 { Importance::High, Importance::Low }, true, seconds(5), 6, 7, 8 },
        { 11 }, "POST", "/bookings", { { "name", "value" } }, true, seconds(9) };
    const auto bytes = encodeFrame(10, open);
    const auto frame = decodeFrame(bytesOf(bytes));
    BOOST_REQUIRE(frame);
    const auto& read = std::get<OpenRequest>(frame->message);
    BOOST_TEST((read.context.attempt == open.context.attempt));
    BOOST_TEST(read.context.account == "account");
    BOOST_TEST(read.context.route == "route");
    BOOST_TEST(read.context.service == "service");
    BOOST_TEST((read.context.rank == Rank { Importance::High, Importance::Low }));
    BOOST_TEST(read.context.idempotent);
    BOOST_TEST((read.context.remaining == seconds(5)));
    BOOST_TEST(read.context.retriesLeft == 6u);
    BOOST_TEST(read.context.depth == 7u);
    BOOST_TEST(read.context.treeHash == 8u);
    BOOST_TEST((read.guard == BootId { 11 }));
    BOOST_TEST(read.method == "POST");
    BOOST_TEST(read.target == "/bookings");
    BOOST_TEST((read.headers == open.headers));
    BOOST_TEST(read.hasBody);
    BOOST_TEST((read.sentAt == seconds(9)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItsBytesAreDamaged)

BOOST_AUTO_TEST_CASE(ThenEveryTruncationIsAnError)
{
    BOOST_TEST(rc::check("no prefix is a message", [] {
        const auto bytes = encodeFrame(1, draw<StreamMessage>());
        for (size_t size = 0; size < bytes.size(); ++size)
            RC_ASSERT(decodingError(std::string_view(bytes).substr(0, size)) == WireError::Truncated);
    }));
}

BOOST_AUTO_TEST_CASE(ThenAnythingBehindItIsAnError)
{
    BOOST_TEST(rc::check("no message has a tail", [] {
        const auto bytes = encodeFrame(1, draw<StreamMessage>()) + "x";
        RC_ASSERT(decodingError(bytes) == WireError::TrailingBytes);
    }));
}

BOOST_AUTO_TEST_CASE(ThenChangedBytesAreAnErrorOrAnotherWholeMessage)
{
    BOOST_TEST(rc::check("mutations are refused or read in full", [] {
        auto bytes = encodeFrame(1, draw<StreamMessage>());
        const auto changes = *rc::gen::inRange(1, 5);
        for (int i = 0; i < changes; ++i)
            bytes = flipped(bytes, *rc::gen::inRange<size_t>(0, bytes.size() * 8));
        RC_ASSERT(decodingError(bytes).has_value() || survivesRoundTrip(bytes));
    }));
}

BOOST_AUTO_TEST_CASE(ThenNoiseIsAnErrorOrAWholeMessage)
{
    BOOST_TEST(rc::check("noise is refused or read in full", [] {
        auto bytes = *rc::gen::arbitrary<std::string>();
        if (!bytes.empty())
            bytes[0] = static_cast<char>(protocolVersion);
        RC_ASSERT(decodingError(bytes).has_value() || survivesRoundTrip(bytes));
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenAFalseField)

BOOST_AUTO_TEST_CASE(ThenAnotherVersionIsRefusedBeforeAnythingElse)
{
    auto bytes = encodeFrame(1, Ping { 1 });
    bytes[0] = static_cast<char>(protocolVersion + 1);
    bytes.resize(3);
    BOOST_TEST((decodingError(bytes) == WireError::BadVersion));
}

BOOST_AUTO_TEST_CASE(ThenAnUnknownKindIsRefused)
{
    auto bytes = encodeFrame(1, Ping { 1 });
    bytes[9] = static_cast<char>(std::variant_size_v<StreamMessage>);
    BOOST_TEST((decodingError(bytes) == WireError::BadKind));
}

BOOST_AUTO_TEST_CASE(ThenAnEnumerationOutOfRangeIsRefused)
{
    auto bytes = encodeFrame(1, CancelRequest {});
    bytes.back() = static_cast<char>(reasonCount);
    BOOST_TEST((decodingError(bytes) == WireError::BadValue));
}

BOOST_AUTO_TEST_CASE(ThenANumberThatIsNoneIsRefused)
{
    const QuotaGrant grant { 1, "a", std::numeric_limits<double>::quiet_NaN(), {}, {} };
    BOOST_TEST((decodingError(encodeFrame(0, ControlMessage(grant))) == WireError::BadValue));
}

BOOST_AUTO_TEST_CASE(ThenADurationOfCenturiesIsRefused)
{
    BOOST_TEST((decodingError(encodeFrame(0, Ready { Duration::max() })) == WireError::BadValue));
    BOOST_TEST((decodingError(encodeFrame(0, Ready { Duration::min() })) == WireError::BadValue));
}

BOOST_AUTO_TEST_CASE(ThenALengthBeyondTheInputIsRefusedWithoutAllocating)
{
    auto bytes = encodeFrame(1, BodyChunk { "bytes", true });
    const uint32_t claimed = 0xffffffff;
    std::memcpy(bytes.data() + 10, &claimed, sizeof claimed);
    BOOST_TEST((decodingError(bytes) == WireError::Truncated));
    auto list = encodeFrame(0, ControlMessage(SectionList {}));
    std::memcpy(list.data() + list.size() - sizeof claimed, &claimed, sizeof claimed);
    BOOST_TEST((decodingError(list) == WireError::Truncated));
}

BOOST_AUTO_TEST_CASE(ThenAnOversizedFrameIsRefusedByItsHeader)
{
    std::array<std::byte, frameHeaderSize> header {};
    uint32_t size = maximumPayload + 1;
    std::memcpy(header.data(), &size, sizeof size);
    BOOST_TEST((errorOf([&] { return payloadSize(header); }) == WireError::TooLong));
    size = maximumPayload;
    std::memcpy(header.data(), &size, sizeof size);
    BOOST_TEST(payloadSize(header).value() == maximumPayload);
    BOOST_TEST((decodingError(std::string(maximumPayload + 1, 'x')) == WireError::TooLong));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenTwoNodesWithTheSameSecret)

BOOST_AUTO_TEST_SUITE(WhenTheyHaveShakenHands)

BOOST_AUTO_TEST_CASE(ThenEachReadsWhatTheOtherSealed)
{
    Connection connection;
    for (uint64_t i = 0; i < 3; ++i) {
        const auto there = sealed(connection.fromAlice, Ping { i });
        BOOST_TEST(payloadSize(headerOf(there)).value() == there.size() - frameHeaderSize);
        const auto frame = connection.fromBob.open(headerOf(there), payloadOf(there));
        BOOST_REQUIRE(frame);
        BOOST_TEST(frame->stream == 7u);
        BOOST_TEST(std::get<Ping>(frame->message).sequence == i);
        const auto back = sealed(connection.fromBob, Pong { i, {} });
        BOOST_TEST(connection.fromAlice.open(headerOf(back), payloadOf(back)).has_value());
    }
    BOOST_TEST(connection.fromAlice.peer().endpoint == bob.endpoint);
}

BOOST_AUTO_TEST_CASE(ThenAFlippedBitAnywhereBehindTheLengthIsNoticed)
{
    Connection connection;
    const auto frame = sealed(connection.fromAlice, BodyChunk { "a body", true });
    for (size_t bit = sizeof(uint32_t) * 8; bit < frame.size() * 8; ++bit)
        BOOST_TEST((openingError(connection.fromBob, flipped(frame, bit)) == badMac));
    BOOST_TEST(!openingError(connection.fromBob, frame).has_value());
}

BOOST_AUTO_TEST_CASE(ThenAReplayedFrameIsNoticed)
{
    Connection connection;
    const auto frame = sealed(connection.fromAlice, Ping { 1 });
    BOOST_TEST(!openingError(connection.fromBob, frame).has_value());
    BOOST_TEST((openingError(connection.fromBob, frame) == badMac));
}

BOOST_AUTO_TEST_CASE(ThenAReorderedOrMissingFrameIsNoticed)
{
    Connection connection;
    const auto first = sealed(connection.fromAlice, Ping { 1 });
    const auto second = sealed(connection.fromAlice, Ping { 2 });
    BOOST_TEST((openingError(connection.fromBob, second) == badMac));
}

BOOST_AUTO_TEST_CASE(ThenAFrameTurnedBackIsNoticed)
{
    Connection connection;
    const auto frame = sealed(connection.fromAlice, Ping { 1 });
    BOOST_TEST((openingError(connection.fromAlice, frame) == badMac));
}

BOOST_AUTO_TEST_CASE(ThenAFrameOfAnotherConnectionIsNoticed)
{
    Connection connection;
    auto later = alice;
    later.nonce[15] = 1;
    auto other = connection.secret.session(later, bob).value();
    BOOST_TEST((openingError(connection.fromBob, sealed(other, Ping { 1 })) == badMac));
}

BOOST_AUTO_TEST_CASE(ThenAMessageTooLongIsNotSent)
{
    Connection connection;
    std::string out = "before";
    const BodyChunk chunk { std::string(maximumPayload, 'x'), true };
    BOOST_TEST((errorOf([&] { return connection.fromAlice.seal(out, 1, chunk); }) == WireError::TooLong));
    BOOST_TEST(out == "before");
    BOOST_TEST(!openingError(connection.fromBob, sealed(connection.fromAlice, Ping { 1 })).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAHandshakeIsFalse)

BOOST_AUTO_TEST_CASE(ThenAHelloUnderAnotherSecretIsNoticed)
{
    const Authenticator secret("a shared secret");
    const auto hello = Authenticator("another").sealHello(alice);
    BOOST_TEST((errorOf([&] { return secret.openHello(headerOf(hello), payloadOf(hello)); }) == badMac));
}

BOOST_AUTO_TEST_CASE(ThenAHelloComesWholeOrNotAtAll)
{
    const Authenticator secret("a shared secret");
    const auto hello = secret.sealHello(alice);
    BOOST_TEST(secret.openHello(headerOf(hello), payloadOf(hello)).value().endpoint == alice.endpoint);
    for (size_t bit = sizeof(uint32_t) * 8; bit < hello.size() * 8; ++bit) {
        const auto changed = flipped(hello, bit);
        BOOST_TEST((errorOf([&] { return secret.openHello(headerOf(changed), payloadOf(changed)); }) == badMac));
    }
}

BOOST_AUTO_TEST_CASE(ThenOnesOwnNonceOrAnotherProtocolIsRefused)
{
    const Authenticator secret("a shared secret");
    BOOST_TEST((errorOf([&] { return secret.session(alice, alice); }) == WireError::BadHandshake));
    auto newer = bob;
    newer.protocol = protocolVersion + 1;
    BOOST_TEST((errorOf([&] { return secret.session(alice, newer); }) == WireError::BadHandshake));
}

BOOST_AUTO_TEST_CASE(ThenASessionUnderAnotherSecretIsUseless)
{
    Connection connection;
    auto stranger = Authenticator("another").session(alice, bob).value();
    BOOST_TEST((openingError(connection.fromBob, sealed(stranger, Ready {})) == badMac));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheySendDatagrams)

BOOST_AUTO_TEST_CASE(ThenTheyComeWholeAndOnlyToTheirReceiver)
{
    const Authenticator secret("a shared secret");
    BOOST_TEST(rc::check("datagrams reach their receiver", [&] {
        const Datagram sent { alice.endpoint, alice.boot, draw<Duration>(), draw<ControlMessage>() };
        const auto bytes = secret.seal(sent, bob.endpoint).value();
        const auto read = secret.open(bytesOf(bytes), bob.endpoint);
        RC_ASSERT(read);
        RC_ASSERT(read->from == sent.from);
        RC_ASSERT(read->boot == sent.boot);
        RC_ASSERT(read->sentAt == sent.sentAt);
        RC_ASSERT(read->message.index() == sent.message.index());
        RC_ASSERT(errorOf([&] { return secret.open(bytesOf(bytes), "127.0.0.1:7002"); }) == badMac);
        const auto changed = flipped(bytes, *rc::gen::inRange<size_t>(0, bytes.size() * 8));
        RC_ASSERT(errorOf([&] { return secret.open(bytesOf(changed), bob.endpoint); }) == badMac);
        const auto cut = std::string_view(bytes).substr(0, *rc::gen::inRange<size_t>(0, bytes.size()));
        RC_ASSERT(errorOf([&] { return secret.open(bytesOf(cut), bob.endpoint); }).has_value());
    }));
}

BOOST_AUTO_TEST_CASE(ThenOnesThatAreTooLongAreNeitherSentNorRead)
{
    const Authenticator secret("a shared secret");
    const Datagram large { alice.endpoint, {}, {}, SectionReply { 1, { std::string(maximumDatagram, 'x') } } };
    BOOST_TEST((errorOf([&] { return secret.seal(large, bob.endpoint); }) == WireError::TooLong));
    const std::string bytes(maximumDatagram + 1, 'x');
    BOOST_TEST((errorOf([&] { return secret.open(bytesOf(bytes), bob.endpoint); }) == WireError::TooLong));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

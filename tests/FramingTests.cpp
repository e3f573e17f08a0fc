// libraries: framing
#include "framing/Framing.h"

#include <boost/test/unit_test.hpp>

using namespace Vanillaridge;

namespace {

struct FramingRow {
    std::vector<std::string_view> codings;
    bool hasContentLength;
    unsigned version;
    bool isUnambiguous;
};

const std::vector<FramingRow> framingRows {
    { {}, false, 11, true },
    { {}, true, 11, true },
    { {}, true, 10, true },
    { { "chunked" }, false, 11, true },
    { { "Chunked" }, false, 11, true },
    { { "\tchunked " }, false, 11, true },
    { { "chunked" }, true, 11, false },
    { { "chunked" }, false, 10, false },
    { { "identity" }, false, 11, false },
    { { "identity" }, true, 11, false },
    { { "xchunked" }, false, 11, false },
    { { "chunkedx" }, false, 11, false },
    { { "\"chunked\"" }, false, 11, false },
    { { "chunked;a=b" }, false, 11, false },
    { { "gzip" }, false, 11, false },
    { { "gzip, chunked" }, false, 11, false },
    { { "chunked, gzip" }, false, 11, false },
    { { "chunked, chunked" }, false, 11, false },
    { { "chunked", "chunked" }, false, 11, false },
    { { "gzip", "chunked" }, false, 11, false },
    { { "chunked," }, false, 11, false },
    { { "" }, false, 11, false },
};

struct ChunkRow {
    std::string_view bytes;
    bool isMalformed;
};

// What a parser has left over because it needs more.
constexpr ChunkRow chunkRows[] {
    { "", false },
    { "\r", false },
    { "\r\n", false },
    { "1f", false },
    { "\r\n1f;name=value", false },
    { "0\r\n", false },
    { "000\r\nTrailer: a\r\n", false },
    { "\r\n0;name=\"value\"\r\n", false },
    { "5\n", true },
    { "5\nhello\n0\n\n", true },
    { "5;name=\"value\r\n", true },
    { "0;name=\"value\r\n\r\n", true },
    { "0\r\nTrailer: a\n", true },
};

} // namespace

BOOST_AUTO_TEST_SUITE(GivenTheHeadOfAMessage)

BOOST_AUTO_TEST_SUITE(WhenItNamesTransferCodings)

// Guards against a body that is taken for the next request, because the node and its caller disagree on where it ends.
BOOST_AUTO_TEST_CASE(ThenChunkedAloneIsAccepted)
{
    for (const auto& row : framingRows) {
        BOOST_TEST_CONTEXT((row.codings.empty() ? std::string_view("none") : row.codings.front())
            << ", length " << row.hasContentLength << ", version " << row.version)
        BOOST_TEST(isUnambiguous({ row.codings, row.hasContentLength, row.version }) == row.isUnambiguous);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenTheBeginningOfAChunk)

BOOST_AUTO_TEST_SUITE(WhenItsParserNeedsMore)

// Guards against a caller that waits without an answer, because a quote or a line never ends.
BOOST_AUTO_TEST_CASE(ThenWhatNothingCanCompleteIsMalformed)
{
    for (const auto& row : chunkRows) {
        BOOST_TEST_CONTEXT(row.bytes)
        BOOST_TEST(isMalformedChunkHeader(row.bytes) == row.isMalformed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

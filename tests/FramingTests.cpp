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

// libraries: testfleet
#include "PlatformFleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace Vanillaridge;

namespace {

constexpr std::chrono::seconds patience(10);
constexpr uint64_t bodyLimit = 4096;

// A request that the backend server began to read, or an answer that it gave.
struct Arrival {
    std::string id;
    std::string method;
    std::string target;
    std::string body;
    bool whole;
};

std::string okAnswer(const RawMessage& request, std::string_view framing, std::string_view bytes)
{
    return fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: test\r\n{}\r\n{}",
        request.header("Request-Id"), framing, bytes);
}

// Entry and guard are different processes; the backend server beside the guard belongs to the test.
struct OneServer {
    OneServer()
        : server([this](RawConnection& connection) { serve(connection); })
        , entry(fleet, 0, "desk")
        , guard(fleet, 1, "ledger")
    {
        const std::vector<PlatformRoute> routes { { "/read/", "ledger", "idempotent", 1 },
            { "/write/", "ledger", "non_idempotent", 1 } };
        BOOST_REQUIRE(putPlatformConfiguration(fleet, routes, bodyLimit));
        entry.start();
        guard.start();
        BOOST_REQUIRE(eventually([&] { return entry.isReady() && guard.isReady(); }));
        BOOST_REQUIRE(eventually([&] { return guard.announce(server.endpoint()); }));
        BOOST_REQUIRE(eventually([&] { return statusOf("warm-up") == 200; }));
    }

    int statusOf(const std::string& id)
    {
        RawConnection connection(entry.callers());
        connection.send(headOf("GET", "/read/plain", "1.1", id) + "\r\n");
        const auto answer = connection.read(patience);
        return answer ? answer->status() : 0;
    }

    static std::string headOf(
        std::string_view method, std::string_view target, std::string_view version, std::string_view id)
    {
        return fmt::format("{} {} HTTP/{}\r\nHost: {}\r\nRequest-Id: {}\r\nDeadline-Ms: 8000\r\n", method, target,
            version, platformHost, id);
    }

    void serve(RawConnection& connection)
    {
        while (auto request = connection.readHead(patience)) {
            connection.readBody(*request, patience);
            std::string answer = okAnswer(*request, "Content-Length: 4\r\n", "done");
            {
                std::lock_guard guard(lock);
                arrivals.push_back({ request->header("Request-Id"), request->method(), request->target(), request->body,
                    request->whole });
                if (!answerFraming.empty()) {
                    answer = okAnswer(*request, answerFraming, answerBytes);
                    answer.replace(0, answer.find("\r\n"), answerStart);
                }
            }
            if (!request->whole || !connection.send(answer) || answerEnds)
                return;
        }
    }

    // Those with this id that the server read to their end.
    std::vector<Arrival> runs(std::string_view id)
    {
        std::lock_guard guard(lock);
        std::vector<Arrival> found;
        std::copy_if(arrivals.begin(), arrivals.end(), std::back_inserter(found),
            [&](const Arrival& arrival) { return arrival.id == id && arrival.whole; });
        return found;
    }

    void giveAnswers(std::string framing, std::string bytes, bool ends, std::string start = "HTTP/1.1 200 OK")
    {
        std::lock_guard guard(lock);
        answerStart = std::move(start);
        answerFraming = std::move(framing);
        answerBytes = std::move(bytes);
        answerEnds = ends;
    }

    std::mutex lock;
    std::vector<Arrival> arrivals;
    std::string answerStart;
    std::string answerFraming;
    std::string answerBytes;
    std::atomic<bool> answerEnds { false };
    Fleet fleet;
    RawServer server;
    PlatformNode entry;
    PlatformNode guard;
};

// --- Requests -------------------------------------------------------------------------------------------------------

// What follows the first lines of a head, the bytes behind it, and what comes of it.
struct RequestRow {
    std::string framing;
    std::string bytes;
    int status;
    // Body with which the server ran it; nothing if it did not.
    std::optional<std::string> ran;
    std::string version = "1.1";
};

const std::string hello = "5\r\nhello\r\n0\r\n\r\n";
const std::string tooLong(bodyLimit + 1, 'x');

const std::vector<RequestRow>& requestRows()
{
    static const std::vector<RequestRow> s_rows {
        // 1. Accepted.
        { "", "", 200, "" },
        { "Content-Length: 5\r\n", "hello", 200, "hello" },
        { "Content-Length: 5\r\n", "hello", 200, "hello", "1.0" },
        { "Content-Length: 0\r\n", "", 200, "" },
        { "Transfer-Encoding: chunked\r\n", hello, 200, "hello" },
        { "Transfer-Encoding:\tChunked \r\n", hello, 200, "hello" },
        { "Transfer-Encoding: chunked\r\n", "5;name=\"value\"\r\nhello\r\n0\r\n\r\n", 200, "hello" },
        { "Transfer-Encoding: chunked\r\n", "0\r\nTrailer: value\r\n\r\n", 200, "" },
        // 2. Codings that are not applied, and heads that say two things.
        { "Transfer-Encoding: identity\r\n", "", 400, {} },
        { "Transfer-Encoding: xchunked\r\n", hello, 400, {} },
        { "Transfer-Encoding: gzip\r\n", "", 400, {} },
        { "Transfer-Encoding: gzip, chunked\r\n", hello, 400, {} },
        { "Transfer-Encoding: chunked, gzip\r\n", hello, 400, {} },
        { "Transfer-Encoding: chunked, identity\r\n", hello, 400, {} },
        { "Transfer-Encoding: \"chunked\"\r\n", hello, 400, {} },
        { "Transfer-Encoding: chunked;a=b\r\n", hello, 400, {} },
        { "Transfer-Encoding:\r\n", hello, 400, {} },
        { "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", hello, 400, {} },
        { "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", hello, 400, {} },
        { "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", hello, 400, {} },
        { "Transfer-Encoding: chunked\r\n", hello, 400, {}, "1.0" },
        { "Transfer-Encoding: identity\r\n", "", 400, {}, "1.0" },
        { "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", hello, 400, {} },
        { "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", hello, 400, {} },
        { "Content-Length: 5\r\nTransfer-Encoding: identity\r\n", "hello", 400, {} },
        { "Content-Length: 5\r\nContent-Length: 6\r\n", "hello", 400, {} },
        { "Content-Length: 5, 6\r\n", "hello", 400, {} },
        { "Content-Length: +5\r\n", "hello", 400, {} },
        { "Content-Length: -5\r\n", "hello", 400, {} },
        { "Content-Length: 0x5\r\n", "hello", 400, {} },
        { "Content-Length: 18446744073709551616\r\n", "hello", 400, {} },
        { "Content-Length : 5\r\n", "hello", 400, {} },
        { "Transfer-Encoding : chunked\r\n", hello, 400, {} },
        { "Content-Length: 5\n", "hello", 400, {} },
        // 3. Chunks that are none.
        { "Transfer-Encoding: chunked\r\n", "-0\r\n\r\n", 400, {} },
        { "Transfer-Encoding: chunked\r\n", "0x5\r\nhello\r\n0\r\n\r\n", 400, {} },
        { "Transfer-Encoding: chunked\r\n", "10000000000000005\r\nhello\r\n0\r\n\r\n", 400, {} },
        { "Transfer-Encoding: chunked\r\n", "5\nhello\n0\n\n", 400, {} },
        { "Transfer-Encoding: chunked\r\n", "5\r\nhelloX\r\n0\r\n\r\n", 400, {} },
        { "Transfer-Encoding: chunked\r\n", "5;name=\"value\r\nhello\r\n0\r\n\r\n", 400, {} },
        { "Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0;name=\"value\r\n\r\n", 400, {} },
        { "Transfer-Encoding: chunked\r\n", "\r\n" + hello, 400, {} },
        { "Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n", 400, {} },
        // 4. Longer than the route allows.
        { "Content-Length: 4097\r\n", tooLong, 413, {} },
        { "Transfer-Encoding: chunked\r\n", chunkOf(tooLong) + "0\r\n\r\n", 413, {} },
    };
    return s_rows;
}

// --- Answers --------------------------------------------------------------------------------------------------------

struct AnswerRow {
    std::string framing;
    std::string bytes;
    // Whether the server closes the connection behind it.
    bool ends;
    int status;
    std::string body {};
};

const std::vector<AnswerRow>& answerRows()
{
    static const std::vector<AnswerRow> s_rows {
        { "Content-Length: 5\r\n", "hello", false, 200, "hello" },
        { "Transfer-Encoding: chunked\r\n", hello, false, 200, "hello" },
        { "Server: test\r\n", "hello", true, 200, "hello" },
        { "Transfer-Encoding: identity\r\n", "hello", true, 502 },
        { "Transfer-Encoding: xchunked\r\n", hello, true, 502 },
        { "Transfer-Encoding: gzip\r\n", "hello", true, 502 },
        { "Transfer-Encoding: gzip, chunked\r\n", hello, false, 502 },
        { "Transfer-Encoding: chunked, gzip\r\n", hello, true, 502 },
        { "Transfer-Encoding: identity\r\nContent-Length: 5\r\n", "hello", false, 502 },
        { "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", hello, false, 502 },
        { "Content-Length: 5\r\nContent-Length: 6\r\n", "hello", false, 502 },
    };
    return s_rows;
}

// --- Drawn heads ----------------------------------------------------------------------------------------------------

// Lines of a head about its body, as a caller of whatever intent may put them.
const std::vector<std::string> framingLines { "Transfer-Encoding: chunked", "Transfer-Encoding: identity",
    "Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, gzip",
    "Transfer-Encoding: xchunked", "Transfer-Encoding: ,chunked", "Transfer-Encoding: \"chunked\"",
    "Transfer-Encoding:\tchunked", "Transfer-Encoding:\r\n chunked", "transfer-encoding: CHUNKED",
    "Transfer-Encoding : chunked", "Content-Length: 5", "Content-Length: 0", "Content-Length: 5, 5",
    "Content-Length: +5", "Content-Length:\r\n 5", "Connection: Transfer-Encoding", "Connection: Content-Length",
    "Content-Length: 17", "TE: chunked", "Trailer: Content-Length", "Expect: 200-ok" };
const std::vector<std::string> bodyPieces { "hello", "5\r\nhello\r\n", "0\r\n\r\n", "5\nhello\n", "\r\n", "-0\r\n\r\n",
    "5;a=\"\r\nhello\r\n", "0\r\nContent-Length: 5\r\n\r\n" };

} // namespace

BOOST_FIXTURE_TEST_SUITE(GivenARequestWithABody, OneServer)

BOOST_AUTO_TEST_SUITE(WhenItsHeadAndItsBodyAreOfAnyFraming)

// Guards against a request that is smuggled inside the body of another one.
BOOST_AUTO_TEST_CASE(ThenItRunsAsItWasSentOrIsRefusedAndNothingBehindItIsRead)
{
    size_t count = 0;
    for (const std::string method : { "GET", "PUT" }) {
        for (const auto& row : requestRows()) {
            const auto number = ++count;
            BOOST_TEST_CONTEXT(method << ' ' << row.version << ' ' << row.framing << row.bytes.substr(0, 40))
            {
                const auto id = fmt::format("outer-{}", number);
                const auto inner = fmt::format("inner-{}", number);
                const std::string target = method == "GET" ? "/read/one" : "/write/one";
                RawConnection connection(entry.callers());
                connection.send(headOf(method, target, row.version, id) + row.framing + "\r\n" + row.bytes
                    + headOf("GET", "/read/inner", "1.1", inner) + "\r\n");
                const auto answer = connection.read(patience);
                BOOST_REQUIRE(answer);
                BOOST_TEST(answer->status() == row.status);
                const auto ran = runs(id);
                if (!row.ran) {
                    BOOST_TEST(ran.empty());
                    BOOST_TEST(connection.awaitEnd(patience));
                    BOOST_TEST(runs(inner).empty());
                    continue;
                }
                BOOST_REQUIRE(ran.size() == 1u);
                BOOST_TEST(ran[0].body == *row.ran);
                BOOST_TEST(ran[0].method == method);
                BOOST_TEST(ran[0].target == target);
                // A connection of HTTP/1.0 ends with its answer.
                const auto next = connection.read(patience);
                BOOST_TEST(next.has_value() == (row.version == "1.1"));
                BOOST_TEST(runs(inner).size() == (next ? 1u : 0u));
            }
        }
    }
}

// Guards against the same, for heads that nobody has thought of.
BOOST_AUTO_TEST_CASE(ThenWhatTheServerRunsIsWhatWasSentInOrder)
{
    size_t count = 0;
    const bool holds = rc::check([&] {
        const auto number = ++count;
        const auto id = fmt::format("drawn-{}", number);
        const auto inner = fmt::format("drawn-inner-{}", number);
        const auto lines = *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(framingLines));
        const auto pieces = *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(bodyPieces));
        const auto version = *rc::gen::element<std::string>("1.1", "1.1", "1.0");
        const auto method = *rc::gen::element<std::string>("GET", "POST");
        std::string head;
        for (const auto& line : lines)
            head += line + "\r\n";
        std::string body;
        for (const auto& piece : pieces)
            body += piece;

        // 1. Its answers, as far as the connection gives any.
        RawConnection connection(entry.callers());
        connection.send(headOf(method, "/read/drawn", version, id) + head + "\r\n" + body
            + headOf("GET", "/read/inner", "1.1", inner) + "\r\n");
        constexpr std::chrono::milliseconds shortPatience(150);
        while (connection.read(shortPatience)) { }

        // 2. What ran has the bytes that a strict reader of the framing gives it.
        const bool hasCoding = std::any_of(lines.begin(), lines.end(), [](const std::string& line) {
            return line.starts_with("Transfer-Encoding") || line.starts_with("transfer-encoding");
        });
        for (const auto& run : runs(id)) {
            RC_ASSERT(run.method == method);
            if (!hasCoding) {
                RC_ASSERT((body + headOf("GET", "/read/inner", "1.1", inner)).starts_with(run.body));
                continue;
            }
            RC_ASSERT(lines.end() == std::find_if(lines.begin(), lines.end(), [](const std::string& line) {
                return line.starts_with("Transfer-Encoding: ") && line != "Transfer-Encoding: chunked";
            }));
            RC_ASSERT(version == "1.1");
            std::string decoded;
            for (size_t i = 0; i < pieces.size() && pieces[i].starts_with("5\r\n"); ++i)
                decoded += "hello";
            RC_ASSERT(run.body == decoded);
        }
        if (!runs(inner).empty())
            RC_ASSERT(runs(id).size() == 1u);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(GivenAnAnswerWithABody, OneServer)

BOOST_AUTO_TEST_SUITE(WhenItIsOfAnyFraming)

// Guards against bytes under a coding that is not applied, passed on as if they were the body.
BOOST_AUTO_TEST_CASE(ThenItIsPassedOnAsItWasGivenOrNotAtAll)
{
    size_t count = 0;
    for (const auto& row : answerRows()) {
        BOOST_TEST_CONTEXT(row.framing << row.bytes)
        {
            giveAnswers(row.framing, row.bytes, row.ends);
            RawConnection connection(entry.callers());
            connection.send(headOf("POST", "/write/one", "1.1", fmt::format("answered-{}", ++count)) + "\r\n");
            const auto answer = connection.read(patience);
            BOOST_REQUIRE(answer);
            BOOST_TEST(answer->status() == row.status);
            if (row.status == 200)
                BOOST_TEST(answer->body == row.body);
            else
                BOOST_TEST(answer->header("Response-Signature").empty());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItsHeadIsMalformed)

// Guards against a status that no response has, or a field that is none, passed on to a caller, and against a body of
// such a response that is taken for the response.
BOOST_AUTO_TEST_CASE(ThenTheCallerGetsNoneOfIt)
{
    const std::string inner = "HTTP/1.1 200 OK\r\nResponse-Signature: forged\r\nContent-Length: 5\r\n\r\nother";
    const auto length = fmt::format("Content-Length: {}\r\n", inner.size());
    std::vector<std::pair<std::string, std::string>> heads;
    for (const std::string status : { "000", "099", "101", "600", "999", "20", "2000" })
        heads.emplace_back("HTTP/1.1 " + status + " Odd", length);
    for (const std::string name : { "A B", "A ", "A\tB", "A\x01", "A\x7f", "\xc3" })
        heads.emplace_back("HTTP/1.1 200 OK", name + ": x\r\n" + length);
    size_t count = 0;
    for (const auto& [start, fields] : heads) {
        BOOST_TEST_CONTEXT(start << ' ' << fields)
        {
            giveAnswers(fields, inner, true, start);
            RawConnection connection(entry.callers());
            connection.send(headOf("POST", "/write/one", "1.1", fmt::format("odd-{}", ++count)) + "\r\n");
            const auto answer = connection.read(patience);
            BOOST_REQUIRE(answer);
            BOOST_TEST(answer->status() == 502);
            BOOST_TEST(answer->header("Response-Signature").empty());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItEndsEarly)

// Guards against a part of an answer that a caller of HTTP/1.0, to whom its end is the connection's, takes for all of
// it.
BOOST_AUTO_TEST_CASE(ThenNoCallerTakesItForWhole)
{
    giveAnswers("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n", true);
    for (const std::string version : { "1.1", "1.0" }) {
        BOOST_TEST_CONTEXT(version)
        {
            RawConnection connection(entry.callers());
            connection.send(headOf("POST", "/write/one", version, "cut-" + version) + "\r\n");
            auto answer = connection.readHead(patience);
            BOOST_REQUIRE(answer);
            const bool hasFraming = !(answer->header("Transfer-Encoding") + answer->header("Content-Length")).empty();
            if (hasFraming)
                connection.readBody(*answer, patience);
            BOOST_TEST(!answer->whole);
            BOOST_TEST(connection.awaitEnd(patience));
            BOOST_TEST((hasFraming || connection.wasReset()));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

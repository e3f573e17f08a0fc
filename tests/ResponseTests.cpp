// libraries: http httpcall
#include "framing/Framing.h"
#include "http/Http.h"
#include "httpcall/HttpCall.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace Vanillaridge;

namespace {

using Tcp = boost::asio::ip::tcp;

// How the server ends its connection behind what it has sent.
enum class Ending : uint8_t { StaysOpen, Closes, Resets };

// Accepts one connection, reads a request's head, sends the given bytes and ends the connection as told.
class OneResponse {
public:
    OneResponse(std::string bytes, Ending ending)
        : m_thread([this, bytes = std::move(bytes), ending] { serve(bytes, ending); })
    {
    }

    Endpoint endpoint() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

private:
    void serve(const std::string& bytes, Ending ending)
    {
        boost::system::error_code error;
        m_acceptor.accept(m_socket);
        std::string request;
        boost::asio::read_until(m_socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
        boost::asio::write(m_socket, boost::asio::buffer(bytes), error);
        if (ending == Ending::Resets)
            m_socket.set_option(boost::asio::socket_base::linger(true, 0), error);
        if (ending == Ending::Closes)
            m_socket.shutdown(Tcp::socket::shutdown_send, error);
        if (ending == Ending::Resets)
            m_socket.close(error);
    }

    boost::asio::io_context m_context;
    Tcp::acceptor m_acceptor { m_context, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0) };
    Tcp::socket m_socket { m_context };
    std::jthread m_thread;
};

// What a caller gets: the status, or 0 for no response, and the body if it came whole.
struct Received {
    unsigned status { 0 };
    std::optional<std::string> body;
};

// Through the pool of connections to backend servers.
Received receiveFromBackend(const OneResponse& server)
{
    Received received;
    boost::asio::io_context context { 1 };
    BackendPool pool(context);
    const auto strand = boost::asio::make_strand(context);
    std::shared_ptr<BackendCall> call;
    const auto run = [&]() -> Task<void> {
        call = co_await pool.connect(server.endpoint(), strand, seconds(1));
        BOOST_REQUIRE(call);
        RequestHead head { "GET", "/", { { "Host", "a" } }, false, std::nullopt };
        co_await call->writeHead(std::move(head));
        const auto reply = co_await call->readHead();
        if (!reply)
            co_return;
        received.status = reply->status;
        std::string body;
        BodyEnd end = BodyEnd::More;
        while (end == BodyEnd::More) {
            auto piece = co_await call->readBody();
            body += piece.bytes;
            end = piece.end;
        }
        if (end == BodyEnd::Last)
            received.body = body;
    };
    boost::asio::co_spawn(strand, run, boost::asio::detached);
    boost::asio::steady_timer limit(context, milliseconds(500));
    limit.async_wait([&](const boost::system::error_code&) {
        if (call)
            call->abort();
    });
    while (!context.stopped() && context.run_one()) { }
    return received;
}

// Through the client that calls the store.
Received receiveAsClient(const OneResponse& server)
{
    Received received;
    boost::asio::io_context context { 1 };
    callHttp(
        context, server.endpoint(), { HttpQuestion::Method::Get, "/" }, milliseconds(250), [&](HttpCallResult result) {
            if (result.answer)
                received = { result.answer->status, result.answer->body };
        });
    context.run();
    return received;
}

using Receive = Received (*)(const OneResponse&);
constexpr std::array<std::pair<std::string_view, Receive>, 2> readers { {
    { "from a backend server", receiveFromBackend },
    { "from the store", receiveAsClient },
} };

struct Row {
    std::string bytes;
    Ending ending { Ending::StaysOpen };
    unsigned status { 0 };
    // Nothing when no whole response may be had.
    std::optional<std::string> body {};
};

const std::string head = "HTTP/1.1 200 OK\r\n";
const std::string framedBody = "Content-Length: 5\r\n\r\nhello";

// A whole response in the body of one whose status line or fields are wrong.
std::string smuggledBy(const std::string& beginning)
{
    const std::string inner = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
    return beginning + "Content-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner;
}

void checkRows(std::span<const Row> rows)
{
    for (const auto& [reader, receive] : readers) {
        for (const auto& row : rows) {
            BOOST_TEST_CONTEXT(reader << ", ending " << int(row.ending) << ": " << row.bytes)
            {
                const OneResponse server(row.bytes, row.ending);
                const auto received = receive(server);
                BOOST_TEST((received.body == row.body));
                if (row.body)
                    BOOST_TEST(received.status == row.status);
            }
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(GivenAResponse)

BOOST_AUTO_TEST_SUITE(WhenItsStatusIsOfAnyKind)

// Guards against a status that no response has, passed on as one, or read as an interim response whose body is then
// taken for the response.
BOOST_AUTO_TEST_CASE(ThenOnlyFinalOnesAreResponses)
{
    std::vector<Row> rows;
    for (const std::string status : { "000", "001", "099", "101", "600", "700", "999", "20", "2000", "2x0", "-20", "" })
        rows.push_back({ smuggledBy("HTTP/1.1 " + status + " X\r\n") });
    for (const std::string status : { "100", "102", "103" })
        rows.push_back({ "HTTP/1.1 " + status + " X\r\n\r\n" + head + framedBody, Ending::StaysOpen, 200, "hello" });
    for (const std::string status : { "100", "199" })
        rows.push_back({ smuggledBy("HTTP/1.1 " + status + " X\r\n") });
    for (const unsigned status : { 200U, 299U, 404U, 500U, 599U })
        rows.push_back(
            { "HTTP/1.1 " + std::to_string(status) + " X\r\n" + framedBody, Ending::StaysOpen, status, "hello" });
    checkRows(rows);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItsFieldsAreMalformed)

// Guards against a line that readers understand differently, passed on or followed by a body that is not the server's.
BOOST_AUTO_TEST_CASE(ThenItIsNoResponse)
{
    std::vector<Row> rows;
    for (const std::string name : { "A B", "A ", " A", "A\tB", "A\x01", "A\x7f", "A\x80", "", "A(", "A\rB" })
        rows.push_back({ smuggledBy(head + name + ": x\r\n") });
    rows.push_back({ smuggledBy(head + std::string("A\0B: x\r\n", 8)) });
    rows.push_back({ smuggledBy(head + "no colon\r\n") });
    rows.push_back({ smuggledBy(head + "A: x\x01y\r\n") });
    rows.push_back({ smuggledBy("HTTP/2.0 200 OK\r\n") });
    rows.push_back({ smuggledBy("HTTX/1.1 200 OK\r\n") });
    checkRows(rows);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItEnds)

// Guards against a part of a response that looks whole.
BOOST_AUTO_TEST_CASE(ThenOnlyWhatItsFramingEndsIsWhole)
{
    const std::string chunks = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::array rows {
        Row { head + framedBody, Ending::StaysOpen, 200, "hello" },
        Row { head + framedBody, Ending::Closes, 200, "hello" },
        Row { head + "Content-Length: 6\r\n\r\nhello", Ending::Closes },
        Row { head + "Content-Length: 6\r\n\r\nhello", Ending::Resets },
        Row { head + "\r\nhello", Ending::Closes, 200, "hello" },
        Row { head + "\r\nhello", Ending::Resets },
        Row { "HTTP/1.0 200 OK\r\n\r\nhello", Ending::Closes, 200, "hello" },
        Row { chunks + "5\r\nhello\r\n0\r\n\r\n", Ending::StaysOpen, 200, "hello" },
        Row { chunks + "5\r\nhello\r\n0\r\nA: b\r\n\r\n", Ending::StaysOpen, 200, "hello" },
        Row { chunks + "5\r\nhello\r\n0\r\n", Ending::Closes },
        Row { chunks + "5\r\nhello\r\n", Ending::Closes },
        Row { chunks + "5\r\nhel", Ending::Closes },
        Row { chunks + "5\r\nhel", Ending::Resets },
        Row { chunks + "5", Ending::Closes },
        Row { chunks + "x\r\nhello\r\n0\r\n\r\n", Ending::Closes },
        Row { chunks + "5\r\nhello\r\n0\r\nA B: c\r\n\r\n", Ending::Closes },
        Row { head + "Transfer-Encoding: gzip\r\n\r\nhello", Ending::Closes },
        Row { "HTTP/1.1 200 OK\r\nA: b", Ending::Closes },
    };
    checkRows(rows);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenAnUploadThatIsStillWritten)

BOOST_AUTO_TEST_SUITE(WhenItsResponseHasNoLengthAndIsReset)

// Guards against a reset that the write of the upload meets first: the read behind it then sees what looks like an
// orderly end.
BOOST_AUTO_TEST_CASE(ThenThePartThatCameIsNotWhole)
{
    const OneResponse server(head + "\r\nsome of the body", Ending::Resets);
    boost::asio::io_context context { 1 };
    BackendPool pool(context);
    const auto strand = boost::asio::make_strand(context);
    bool writesFail = false;
    BodyEnd end = BodyEnd::More;
    const auto run = [&]() -> Task<void> {
        const auto call = co_await pool.connect(server.endpoint(), strand, seconds(1));
        BOOST_REQUIRE(call);
        RequestHead upload { "POST", "/", { { "Host", "a" } }, true, std::nullopt };
        co_await call->writeHead(std::move(upload));
        const auto reply = co_await call->readHead();
        if (!reply) {
            end = BodyEnd::Cut;
            co_return;
        }
        const std::string piece(bodyPieceBytes, 'x');
        while (!writesFail) {
            const bool written = co_await call->writeBody(piece, false);
            writesFail = !written;
        }
        while (end == BodyEnd::More) {
            const auto read = co_await call->readBody();
            end = read.end;
        }
    };
    boost::asio::co_spawn(strand, run, boost::asio::detached);
    context.run();
    BOOST_TEST((end == BodyEnd::Cut));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

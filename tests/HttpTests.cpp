// libraries: http
#include "HttpServed.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

using namespace Vanillaridge;

BOOST_AUTO_TEST_SUITE(GivenAServer)

BOOST_AUTO_TEST_SUITE(WhenRequestsComeOneAfterTheOther)

BOOST_AUTO_TEST_CASE(ThenOneConnectionCarriesThemAll)
{
    const Served served;
    Caller caller(served);
    for (const std::string target : { "/first", "/second", "/third" }) {
        caller.write("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
        const auto reply = caller.readUntil(target);
        BOOST_TEST(reply.starts_with("HTTP/1.1 200"));
        BOOST_TEST(reply.ends_with("\r\n\r\n" + target));
    }
}

BOOST_AUTO_TEST_CASE(ThenThoseThatComeTogetherAreAnsweredInOrder)
{
    const Served served;
    Caller caller(served);
    caller.write("GET /one HTTP/1.1\r\nHost: a\r\n\r\nGET /two HTTP/1.1\r\nHost: a\r\n\r\n");
    const auto replies = caller.readUntil("/two");
    BOOST_TEST(replies.find("/one") < replies.find("/two"));
}

BOOST_AUTO_TEST_CASE(ThenABodyAndTheNextRequestAreToldApart)
{
    const Served served;
    Caller caller(served);
    caller.write(
        "POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhelloGET /next HTTP/1.1\r\nHost: a\r\n\r\n");
    const auto replies = caller.readUntil("/next");
    BOOST_TEST(replies.find("/bodyhello") != std::string::npos);
    BOOST_TEST(replies.ends_with("\r\n\r\n/next"));
}

BOOST_AUTO_TEST_CASE(ThenAChunkedBodyIsReadWhole)
{
    const Served served;
    Caller caller(served);
    caller.write("POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    BOOST_TEST(caller.readUntil("/cabcde").ends_with("/cabcde"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAHeadComesInPieces)

BOOST_AUTO_TEST_CASE(ThenItIsReadAsOne)
{
    const Served served;
    Caller caller(served);
    const std::string request = "GET /slowly HTTP/1.1\r\nHost: a\r\n\r\n";
    for (const char byte : request)
        caller.write(std::string_view(&byte, 1));
    BOOST_TEST(caller.readUntil("/slowly").starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(ThenOneThatIsNotARequestIsRejected)
{
    const Served served;
    Caller caller(served);
    caller.write("not a request\r\n\r\n");
    BOOST_TEST(caller.readUntil("bad-request").starts_with("HTTP/1.1 400"));
}

BOOST_AUTO_TEST_CASE(ThenOneThatDoesNotEndIsRejectedInTime)
{
    HttpLimits limits;
    limits.headTimeout = milliseconds(1);
    const Served served(limits);
    Caller caller(served);
    caller.write("GET /never");
    BOOST_TEST(caller.readUntil("slow-caller").starts_with("HTTP/1.1 408"));
}

BOOST_AUTO_TEST_CASE(ThenOneThatIsTooLongIsRejected)
{
    const Served served;
    Caller caller(served);
    caller.write("GET / HTTP/1.1\r\nLong: " + std::string(20'000, 'x'));
    BOOST_TEST(caller.readUntil("head-too-large").starts_with("HTTP/1.1 431"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenABodyStops)

BOOST_AUTO_TEST_CASE(ThenItsReaderIsTold)
{
    HttpLimits limits;
    limits.pieceTimeout = milliseconds(1);
    const Served served(limits);
    Caller caller(served);
    caller.write("POST /half HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhello");
    BOOST_TEST(caller.readUntil("/halfhello").starts_with("HTTP/1.1 408"));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against stalled callers that keep all room for heads and bodies until their time is over.
BOOST_AUTO_TEST_SUITE(WhenStalledHeadsTakeUpTheRoomForBuffers)

BOOST_AUTO_TEST_CASE(ThenTheyAreEndedAndAnotherIsServed)
{
    // Half of it is for callers: room for two of the stalled heads, and for no further head of half their length.
    constexpr uint64_t total = 128 * 1024;
    constexpr uint64_t heldByStalled = 56'000;
    const std::string stalledLine = "Long: " + std::string(15'000, 'x');
    const std::string line = "Long: " + std::string(7'500, 'x');
    BufferBudget budget(total);
    HttpLimits limits;
    limits.headTimeout = seconds(60);
    limits.budget = &budget;
    const Served served(limits);
    std::array<Caller, 2> stalled { Caller(served), Caller(served) };
    for (auto& caller : stalled)
        caller.write("GET /stalled HTTP/1.1\r\nHost: a\r\n" + stalledLine);
    const auto end = BootClock::now() + seconds(20);
    while (budget.held(BufferSide::Callers) < heldByStalled && BootClock::now() < end)
        stalled.front().awaitReply(milliseconds(10));
    BOOST_REQUIRE(budget.held(BufferSide::Callers) >= heldByStalled);
    std::string reply;
    while (BootClock::now() < end && !reply.starts_with("HTTP/1.1 200")) {
        Caller other(served);
        other.write("GET /other HTTP/1.1\r\nHost: a\r\n" + line + "\r\n\r\n");
        reply = other.readUntil("\r\n\r\n");
    }
    BOOST_TEST(reply.starts_with("HTTP/1.1 200"));
    const auto ended = std::ranges::count_if(stalled, [](Caller& caller) { return caller.awaitReply(seconds(5)); });
    BOOST_TEST(ended > 0);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a process that grows beyond its bound since what has to be taken comes faster than it is freed.
BOOST_AUTO_TEST_SUITE(WhenFarMoreIsHeldThanThereIsRoomFor)

BOOST_AUTO_TEST_CASE(ThenAllThatIsTooMuchIsFreedAtOnce)
{
    // Half of it is for callers. A quarter of that, freed four times a second, would take 25 s for all callers.
    constexpr uint64_t total = 1 << 20;
    constexpr size_t callerCount = 200;
    BufferBudget budget(total);
    HttpLimits limits;
    limits.pieceTimeout = seconds(60);
    limits.budget = &budget;
    const Served served(limits);
    std::vector<std::unique_ptr<Caller>> callers;
    for (size_t i = 0; i < callerCount; ++i) {
        callers.push_back(std::make_unique<Caller>(served));
        callers.back()->write("POST /held HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhello");
    }
    const auto limit = budget.limit(BufferSide::Callers);
    const auto end = BootClock::now() + seconds(15);
    uint64_t most = 0;
    while ((most <= limit || budget.held(BufferSide::Callers) > limit) && BootClock::now() < end) {
        most = std::max(most, budget.held(BufferSide::Callers));
        callers.back()->awaitReply(milliseconds(10));
    }
    BOOST_TEST(most > limit);
    BOOST_TEST(budget.held(BufferSide::Callers) <= limit);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItIsDrained)

BOOST_AUTO_TEST_CASE(ThenAConnectionThatWaitsForARequestEndsAtOnce)
{
    HttpLimits limits;
    limits.idleTimeout = std::chrono::hours(1);
    Served served(limits);
    Caller caller(served);
    caller.write("GET /before HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(caller.readUntil("/before").ends_with("/before"));
    served.server.drain();
    BOOST_TEST(caller.readUntil("nothing more").empty());
}

BOOST_AUTO_TEST_CASE(ThenARequestThatHasBegunIsAnsweredAndEndsItsConnection)
{
    Served served;
    Caller caller(served);
    caller.write("POST /begun HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n");
    BOOST_TEST(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 100"));
    BOOST_TEST(served.server.exchanges() == 1u);
    served.server.drain();
    caller.write("hello");
    const auto reply = caller.readUntil("nothing more");
    BOOST_TEST(reply.find("Connection: close") != std::string::npos);
    BOOST_TEST(reply.ends_with("/begunhello"));
}

BOOST_AUTO_TEST_CASE(ThenWhatWasReadTogetherIsAnsweredTogether)
{
    Served served;
    Caller caller(served);
    served.server.closeAfterReplies();
    caller.write("GET /one HTTP/1.1\r\nHost: a\r\n\r\nGET /two HTTP/1.1\r\nHost: a\r\n\r\n");
    const auto replies = caller.readUntil("nothing more");
    BOOST_TEST(replies.find("/one") < replies.find("Connection: close"));
    BOOST_TEST(replies.ends_with("/two"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenACallerLeavesBeforeItsReply)

BOOST_AUTO_TEST_CASE(ThenTheExchangeIsTold)
{
    Served served;
    auto left = served.handler.callerLeft.get_future();
    {
        Caller caller(served);
        caller.write("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    left.wait();
    BOOST_TEST(left.valid());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

namespace {

// Calls the server once, from a context of its own.
std::string callOnce(BackendPool& pool, boost::asio::io_context& context, const Endpoint& endpoint, std::string target)
{
    std::string answer;
    const auto strand = boost::asio::make_strand(context);
    const auto call = [&]() -> Task<void> {
        const auto connection = co_await pool.connect(endpoint, strand, seconds(1));
        BOOST_REQUIRE(connection);
        RequestHead head { "GET", target, { { "Host", "a" } }, false, std::nullopt };
        const bool written = co_await connection->writeHead(std::move(head));
        BOOST_TEST(written);
        const auto reply = co_await connection->readHead();
        BOOST_REQUIRE(reply);
        BodyEnd end = BodyEnd::More;
        while (end == BodyEnd::More) {
            auto piece = co_await connection->readBody();
            answer += piece.bytes;
            end = piece.end;
        }
        BOOST_TEST((end == BodyEnd::Last));
    };
    boost::asio::co_spawn(strand, call, boost::asio::detached);
    context.restart();
    context.run();
    return answer;
}

// A backend server that answers with a beginning and then with the same bytes again and again, until its caller closes
// or more has been taken than the buffers of a connection hold.
struct Endless {
    Endless(std::string beginning, std::string again)
        : thread([this, beginning = std::move(beginning), again = std::move(again)] { serve(beginning, again); })
    {
    }

    void serve(const std::string& beginning, const std::string& again)
    {
        Tcp::socket socket(context);
        acceptor.accept(socket);
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(beginning), error);
        std::string block;
        while (block.size() < blockBytes)
            block += again;
        for (size_t sent = 0; !error && sent < takenAtMost; sent += block.size())
            boost::asio::write(socket, boost::asio::buffer(block), error);
        callerClosed = static_cast<bool>(error);
    }

    Endpoint endpoint() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }

    static constexpr size_t blockBytes = 64 * 1024;
    static constexpr size_t takenAtMost = size_t(64) << 20;
    boost::asio::io_context context;
    Tcp::acceptor acceptor { context, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0) };
    bool callerClosed { false };
    std::jthread thread;
};

// Calls an endless server and gives up where the call ends; whether that was before all was taken.
bool endsInTime(const std::string& beginning, const std::string& again)
{
    Endless server(beginning, again);
    boost::asio::io_context context { 1 };
    BackendPool pool(context);
    const auto strand = boost::asio::make_strand(context);
    const auto isStray = [](const ReplyHead& reply) { return reply.status == 299; };
    const auto call = [&]() -> Task<void> {
        const auto connection = co_await pool.connect(server.endpoint(), strand, seconds(1));
        BOOST_REQUIRE(connection);
        RequestHead head { "GET", "/", { { "Host", "a" } }, false, std::nullopt };
        co_await connection->writeHead(std::move(head));
        const auto reply = co_await connection->readHead(isStray);
        BodyEnd end = reply ? BodyEnd::More : BodyEnd::Cut;
        while (end == BodyEnd::More) {
            const auto piece = co_await connection->readBody();
            end = piece.end;
        }
        BOOST_TEST((end == BodyEnd::Cut));
    };
    boost::asio::co_spawn(strand, call, boost::asio::detached);
    context.run();
    server.thread.join();
    return server.callerClosed;
}

const std::string endlessBody = "Transfer-Encoding: chunked\r\n\r\n";
const std::string chunk = "4\r\nmore\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(GivenABackendServerThatSendsBytesWithoutEnd)

BOOST_AUTO_TEST_SUITE(WhenTheyAreNoAnswer)

BOOST_AUTO_TEST_CASE(ThenTheCallEnds) { BOOST_TEST(endsInTime("", "nonsense")); }

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheyAreInAHead)

BOOST_AUTO_TEST_CASE(ThenTheCallEndsInOneLine) { BOOST_TEST(endsInTime("HTTP/1.1 200 OK\r\nLong: ", "x")); }

BOOST_AUTO_TEST_CASE(ThenTheCallEndsInManyLines) { BOOST_TEST(endsInTime("HTTP/1.1 200 OK\r\n", "A: b\r\n")); }

BOOST_AUTO_TEST_CASE(ThenTheCallEndsInInterimAnswers) { BOOST_TEST(endsInTime("", "HTTP/1.1 102 P\r\n\r\n")); }

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItIsGivenUpBetweenTwoAnswers)

BOOST_AUTO_TEST_CASE(ThenItsConnectionCarriesNoOtherRequest)
{
    boost::asio::io_context serverContext;
    Tcp::acceptor acceptor(serverContext, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    const Endpoint endpoint = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    bool wasClosed = false;
    std::jthread server([&] {
        Tcp::socket socket(serverContext);
        acceptor.accept(socket);
        std::string interim;
        for (int i = 0; i < 16; ++i)
            interim += "HTTP/1.1 102 P\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(interim));
        std::array<char, 4096> bytes;
        boost::system::error_code error;
        while (!error)
            socket.read_some(boost::asio::buffer(bytes), error);
        wasClosed = true;
    });
    {
        boost::asio::io_context context { 1 };
        BackendPool pool(context);
        const auto strand = boost::asio::make_strand(context);
        const auto call = [&]() -> Task<void> {
            auto connection = co_await pool.connect(endpoint, strand, seconds(1));
            BOOST_REQUIRE(connection);
            RequestHead head { "GET", "/", { { "Host", "a" } }, false, std::nullopt };
            co_await connection->writeHead(std::move(head));
            const auto reply = co_await connection->readHead();
            BOOST_TEST(!reply.has_value());
            connection.reset();
            server.join();
            BOOST_TEST(wasClosed);
        };
        boost::asio::co_spawn(strand, call, boost::asio::detached);
        context.run();
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheyBelongToAnotherRequest)

BOOST_AUTO_TEST_CASE(ThenTheCallEndsInOneBody)
{
    BOOST_TEST(endsInTime("HTTP/1.1 299 Stray\r\n" + endlessBody, chunk));
}

BOOST_AUTO_TEST_CASE(ThenTheCallEndsInManyAnswers)
{
    BOOST_TEST(endsInTime("", "HTTP/1.1 299 Stray\r\nContent-Length: 2\r\n\r\nno"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheyAreTheBodyOfAFailure)

BOOST_AUTO_TEST_CASE(ThenTheCallEndsInChunks)
{
    BOOST_TEST(endsInTime("HTTP/1.1 500 Failed\r\n" + endlessBody, chunk));
}

BOOST_AUTO_TEST_CASE(ThenTheCallEndsWithoutALength) { BOOST_TEST(endsInTime("HTTP/1.1 500 Failed\r\n\r\n", "more")); }

BOOST_AUTO_TEST_CASE(ThenTheCallEndsInTheFramingOfAChunk)
{
    BOOST_TEST(endsInTime("HTTP/1.1 200 OK\r\n" + endlessBody + "4;", "extension=of-a-chunk;"));
}

BOOST_AUTO_TEST_CASE(ThenTheCallEndsInTrailers)
{
    BOOST_TEST(endsInTime("HTTP/1.1 200 OK\r\n" + endlessBody + "0\r\n", "A: b\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

namespace {

std::string answerTo(std::string_view id)
{
    return "HTTP/1.1 200 OK\r\nId: " + std::string(id) + "\r\nContent-Length: 1\r\n\r\n" + std::string(id);
}

// A backend server that accepts connections one after the other, and sends bytes of the test's choice after each
// request.
struct Scripted {
    // Bytes after each request of each connection.
    using Script = std::vector<std::vector<std::string>>;

    explicit Scripted(Script script)
        : thread([this, script = std::move(script)] { serve(script); })
    {
    }

    void serve(const Script& script)
    {
        for (const auto& answers : script) {
            Tcp::socket socket(context);
            acceptor.accept(socket);
            for (const auto& bytes : answers) {
                std::string request;
                boost::system::error_code error;
                boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
                boost::asio::write(socket, boost::asio::buffer(bytes), error);
            }
            // Left open until the caller closes it.
            open.push_back(std::move(socket));
        }
    }

    Endpoint endpoint() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }

    boost::asio::io_context context;
    Tcp::acceptor acceptor { context, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0) };
    std::vector<Tcp::socket> open;
    std::jthread thread;
};

// The bodies of the answers to requests "1", "2" and so on; empty for a call that failed.
std::vector<std::string> callInTurn(const Endpoint& endpoint, int count)
{
    std::vector<std::string> bodies;
    boost::asio::io_context context { 1 };
    BackendPool pool(context);
    const auto strand = boost::asio::make_strand(context);
    for (int i = 1; i <= count; ++i) {
        const auto id = std::to_string(i);
        const auto call = [&]() -> Task<void> {
            const auto connection = co_await pool.connect(endpoint, strand, seconds(1));
            BOOST_REQUIRE(connection);
            RequestHead head { "GET", "/" + id, { { "Host", "a" } }, false, std::nullopt };
            co_await connection->writeHead(std::move(head));
            const auto reply = co_await connection->readHead(
                [&](const ReplyHead& answer) { return headerIn(answer.headers, "Id") != id; });
            bodies.emplace_back();
            if (!reply)
                co_return;
            const auto piece = co_await connection->readBody();
            bodies.back() = piece.bytes;
        };
        boost::asio::co_spawn(strand, call, boost::asio::detached);
        context.restart();
        context.run();
    }
    return bodies;
}

} // namespace

BOOST_AUTO_TEST_SUITE(GivenABackendServerThatSendsASecondCopyOfAnAnswer)

BOOST_AUTO_TEST_CASE(ThenACopyThatComesInTheNextCallIsPassedOver)
{
    const Scripted server({ { answerTo("1"), answerTo("1") + answerTo("2") } });
    BOOST_TEST((callInTurn(server.endpoint(), 2) == std::vector<std::string> { "1", "2" }));
}

BOOST_AUTO_TEST_CASE(ThenACopyThatComesBetweenCallsEndsItsConnection)
{
    const Scripted server({ { answerTo("1") + answerTo("1") }, { answerTo("2") } });
    BOOST_TEST((callInTurn(server.endpoint(), 2) == std::vector<std::string> { "1", "2" }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenABackendServer)

BOOST_AUTO_TEST_CASE(ThenCallsOneAfterTheOtherShareAConnection)
{
    const Served served;
    boost::asio::io_context context { 1 };
    BackendPool pool(context);
    for (const std::string target : { "/a", "/b", "/c" })
        BOOST_TEST(callOnce(pool, context, served.server.endpoint(), target) == target);
    BOOST_TEST(served.server.connections() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

// libraries: http
#include "HttpServed.h"
#include "address/Address.h"

#include <boost/asio/post.hpp>
#include <list>

using namespace Vanillaridge;

namespace {

constexpr size_t allowedConnections = 4;
constexpr Duration waitLimit = seconds(20);

HttpLimits fewConnections()
{
    HttpLimits limits;
    limits.connections = allowedConnections;
    limits.headTimeout = std::chrono::hours(1);
    limits.headGrace = milliseconds(1);
    return limits;
}

// A server with as many connections as it allows, which have all sent the same bytes.
struct FullServer {
    explicit FullServer(std::string_view sent = {})
        : served(fewConnections())
    {
        for (size_t i = 0; i < allowedConnections; ++i) {
            auto& caller = callers.emplace_back(served);
            // Answered, so that the order of the connections is certain.
            caller.write("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
            BOOST_REQUIRE(caller.readUntil("/first").ends_with("/first"));
            if (!sent.empty())
                caller.write(sent);
        }
    }

    // Whether a new caller is served, on one of a few connections.
    bool servesAnother()
    {
        constexpr int tries = 3;
        for (int i = 0; i < tries; ++i) {
            Caller caller(served);
            boost::system::error_code error;
            boost::asio::write(caller.socket, boost::asio::buffer(request), error);
            if (!error && caller.readUntil("/another").ends_with("/another"))
                return true;
        }
        return false;
    }

    static constexpr std::string_view request = "GET /another HTTP/1.1\r\nHost: a\r\n\r\n";
    Served served;
    std::list<Caller> callers;
};

struct ServerWithIdleConnections : FullServer { };

struct ServerWithUnfinishedHeads : FullServer {
    ServerWithUnfinishedHeads()
        : FullServer("GET /half")
    {
    }
};

// Counts what it is told of connections, and answers nothing.
class Counting final : public HttpHandler {
public:
    Task<void> serve(std::shared_ptr<HttpExchange>) override { co_return; }
    SimpleReply rejection(Reason) override { return {}; }
    void noteAcceptance(Acceptance acceptance) override { accepted += acceptance == Acceptance::Accepted ? 1 : 0; }

    size_t accepted = 0;
};

// Fails over the first connection that it is told of, and answers as Echo does.
class FailingOnce final : public HttpHandler {
public:
    Task<void> serve(std::shared_ptr<HttpExchange> exchange) override { return m_echo.serve(std::move(exchange)); }
    SimpleReply rejection(Reason reason) override { return m_echo.rejection(reason); }
    void noteAcceptance(Acceptance acceptance) override
    {
        if (acceptance == Acceptance::Accepted && !std::exchange(m_hasFailed, true))
            throw std::runtime_error("no memory for a connection");
    }

private:
    Echo m_echo;
    bool m_hasFailed = false;
};

// An event loop in which other work is always waiting.
class BusyLoop {
public:
    explicit BusyLoop(boost::asio::io_context& context)
        : m_context(context)
    {
        again();
    }

    size_t rounds() const { return m_rounds; }

private:
    void again()
    {
        boost::asio::post(m_context, [this] {
            ++m_rounds;
            again();
        });
    }

    boost::asio::io_context& m_context;
    size_t m_rounds = 0;
};

} // namespace

// Guards against a node that turns callers away although nobody uses its connections.
BOOST_AUTO_TEST_SUITE(GivenAServerWithAsManyConnectionsAsItAllows)

BOOST_FIXTURE_TEST_SUITE(WhenTheyAreIdle, ServerWithIdleConnections)

BOOST_AUTO_TEST_CASE(ThenANewCallerIsServed) { BOOST_TEST(servesAnother()); }

BOOST_AUTO_TEST_CASE(ThenTheOneThatWasIdleLongestMakesRoom)
{
    BOOST_REQUIRE(servesAnother());
    BOOST_TEST(callers.front().readUntil("nothing more").empty());
    callers.back().write("GET /still HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(callers.back().readUntil("/still").ends_with("/still"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhenTheirNextRequestsDoNotComeToAnEnd, ServerWithUnfinishedHeads)

BOOST_AUTO_TEST_CASE(ThenANewCallerIsServedSoon)
{
    bool isServed = false;
    for (const auto end = BootClock::now() + waitLimit; !isServed && BootClock::now() < end;)
        isServed = servesAnother();
    BOOST_TEST(isServed);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

// Guards against a queue of new connections that grows although the event loop goes round.
BOOST_AUTO_TEST_SUITE(GivenCallersThatWaitToBeAccepted)

BOOST_AUTO_TEST_SUITE(WhenTheEventLoopHasOtherWork)

BOOST_AUTO_TEST_CASE(ThenAFewRoundsAcceptThemAll)
{
    constexpr size_t waiting = 32;
    constexpr size_t roundLimit = 8;
    Counting counting;
    boost::asio::io_context context { 1 };
    HttpServer server(context, {}, counting);
    BOOST_REQUIRE(!server.listen("127.0.0.1:0"));
    const auto text = server.endpoint();
    const Tcp::endpoint address(
        boost::asio::ip::address_v4::loopback(), static_cast<uint16_t>(std::stoul(text.substr(text.rfind(':') + 1))));
    std::list<Tcp::socket> sockets;
    for (size_t i = 0; i < waiting; ++i)
        sockets.emplace_back(context).connect(address);
    const BusyLoop loop(context);
    while (loop.rounds() < roundLimit)
        context.run_one();
    BOOST_TEST(counting.accepted == waiting);
    context.stop();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

// Guards against a server that stops accepting without a word.
BOOST_AUTO_TEST_SUITE(GivenAServerThatFailsOverAConnection)

BOOST_AUTO_TEST_CASE(ThenItAcceptsTheNext)
{
    const BasicServed<FailingOnce> served;
    Caller first(served);
    BOOST_TEST(first.readUntil("nothing more").empty());
    Caller second(served);
    second.write("GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(second.awaitReply(waitLimit));
    BOOST_TEST(second.readUntil("/second").ends_with("/second"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenAFailedAccept)

BOOST_AUTO_TEST_CASE(ThenOnlyWhatConcernsTheServerMakesItPause)
{
    using boost::system::errc::errc_t;
    constexpr std::array<errc_t, 4> ofTheConnection { errc_t::connection_aborted, errc_t::protocol_error,
        errc_t::host_unreachable, errc_t::interrupted };
    constexpr std::array<errc_t, 4> ofTheServer { errc_t::too_many_files_open, errc_t::too_many_files_open_in_system,
        errc_t::no_buffer_space, errc_t::not_enough_memory };
    for (const auto error : ofTheConnection)
        BOOST_TEST(concernsOneConnection(make_error_code(error)));
    for (const auto error : ofTheServer)
        BOOST_TEST(!concernsOneConnection(make_error_code(error)));
}

BOOST_AUTO_TEST_SUITE_END()

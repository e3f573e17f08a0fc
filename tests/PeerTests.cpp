// libraries: peer
#include "peer/Peer.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <cstring>
#include <thread>

using namespace Vanillaridge;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr std::string_view secret = "a secret of the fleet";
// Longest wait for what has to happen; far beyond the time that it takes.
constexpr auto waitLimit = std::chrono::seconds(20);
// Well below the time after which a connection that nobody uses is closed anyway.
constexpr auto replyLimit = std::chrono::seconds(10);
constexpr auto sendPeriod = std::chrono::milliseconds(100);

Endpoint loopback(uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

Endpoint freeEndpoint()
{
    boost::asio::io_context context;
    const Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return loopback(acceptor.local_endpoint().port());
}

// Keeps the control messages that came.
class Inbox final : public PeerHandler {
public:
    Task<void> serve(MessageStreamPointer, OpenRequest, PeerClock) override { co_return; }
    VerdictReply verdict(const VerdictQuery&, const Hello&, const PeerClock&) override { return {}; }
    void control(const Endpoint&, const ControlMessage& message) override
    {
        {
            std::lock_guard guard(m_lock);
            m_messages.push_back(message);
        }
        m_arrived.notify_all();
    }

    template <typename Message> bool await(std::chrono::milliseconds limit)
    {
        std::unique_lock guard(m_lock);
        return m_arrived.wait_for(guard, limit, [this] {
            return std::any_of(m_messages.begin(), m_messages.end(),
                [](const auto& message) { return std::holds_alternative<Message>(message); });
        });
    }

private:
    std::mutex m_lock;
    std::condition_variable m_arrived;
    std::vector<ControlMessage> m_messages;
};

// The transport of one node, on a thread of its own.
struct Node {
    Node(Endpoint endpoint, uint64_t boot)
        : board({ std::move(endpoint), "zone", { boot }, { boot } })
        , random(makeSeededRandom(boot))
        , transport(context, board, clock, *random, secret, inbox)
    {
        BOOST_REQUIRE(!transport.start());
        thread = std::jthread([this] { context.run(); });
    }

    ~Node() { context.stop(); }

    void send(const Endpoint& to, ControlMessage message) { board.outbox().post(to, std::move(message)); }

    SystemClock clock;
    Board board;
    std::unique_ptr<RandomSource> random;
    Inbox inbox;
    boost::asio::io_context context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { context.get_executor() };
    PeerTransport transport;
    std::jthread thread;
};

// A machine that shakes hands on each connection and is never heard again: what is sent to it stays unread, and no
// connection is closed.
class SilentMachine {
public:
    explicit SilentMachine(uint64_t boot)
        : m_acceptor(m_context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_endpoint(loopback(m_acceptor.local_endpoint().port()))
        , m_boot(boot)
        , m_thread([this] { serve(); })
    {
    }

    ~SilentMachine() { stopListening(); }

    const Endpoint& endpoint() const { return m_endpoint; }

    bool awaitConnections(size_t count, std::chrono::milliseconds limit)
    {
        std::unique_lock guard(m_lock);
        return m_accepted.wait_for(guard, limit, [&] { return m_sockets.size() >= count; });
    }

    // The address can be taken by another machine from now on.
    void stopListening()
    {
        if (!m_thread.joinable())
            return;
        m_stopped = true;
        // Wakes the thread.
        Tcp::socket waker(m_context);
        boost::system::error_code ignored;
        waker.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
        m_acceptor.close();
    }

private:
    using Header = std::array<std::byte, frameHeaderSize>;

    void serve()
    {
        while (true) {
            Tcp::socket socket(m_context);
            m_acceptor.accept(socket);
            if (m_stopped)
                return;
            // Checks belong to the test's own thread, which waits for the connection.
            if (!shakeHands(socket))
                continue;
            {
                std::lock_guard guard(m_lock);
                m_sockets.push_back(std::move(socket));
            }
            m_accepted.notify_all();
        }
    }

    bool shakeHands(Tcp::socket& socket)
    {
        const Authenticator authenticator(secret);
        const Hello own { m_endpoint, { m_boot }, { 1 }, protocolVersion };
        boost::asio::write(socket, boost::asio::buffer(authenticator.sealHello(own)));
        Header header;
        const auto hello = readPayload(socket, header);
        auto theirs = authenticator.openHello(header, hello);
        auto session = authenticator.session(own, theirs.value());
        std::string ready;
        const auto sealed = session.value().seal(ready, controlStream, Ready { m_clock.now().time_since_epoch() });
        if (!sealed)
            return false;
        boost::asio::write(socket, boost::asio::buffer(ready));
        readPayload(socket, header);
        return true;
    }

    static std::vector<std::byte> readPayload(Tcp::socket& socket, Header& header)
    {
        boost::asio::read(socket, boost::asio::buffer(header));
        std::vector<std::byte> payload(payloadSize(header).value());
        boost::asio::read(socket, boost::asio::buffer(payload));
        return payload;
    }

    boost::asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    const Endpoint m_endpoint;
    const uint64_t m_boot;
    SystemClock m_clock;
    std::mutex m_lock;
    std::condition_variable m_accepted;
    std::vector<Tcp::socket> m_sockets;
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
};

// A node that has a connection to a machine.
struct Story {
    Story() { node.send(machine.endpoint(), SectionListRequest { 1, 0 }); }

    SilentMachine machine { 1 };
    Node node { freeEndpoint(), 2 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GivenANodeWithAConnectionToAMachine, Story)

// Guards against replies that go out on a connection to the machine that had the address before, and are lost.
BOOST_AUTO_TEST_SUITE(WhenTheMachineIsLostAndAnotherStartsAtItsAddress)

BOOST_AUTO_TEST_CASE(ThenTheOtherGetsTheNextReply)
{
    BOOST_REQUIRE(machine.awaitConnections(1, waitLimit));
    machine.stopListening();
    Node other(machine.endpoint(), 3);
    other.send(node.board.self().endpoint, SectionListRequest { 7, 0 });
    BOOST_REQUIRE(node.inbox.await<SectionListRequest>(waitLimit));
    node.send(other.board.self().endpoint, SectionList { 7, 0, {}, 0, {} });
    BOOST_TEST(other.inbox.await<SectionList>(replyLimit));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against requests that go out on a connection to an earlier process, and wait until it counts as silent.
BOOST_AUTO_TEST_SUITE(WhenTheFleetTellsOfAnotherProcessThere)

BOOST_AUTO_TEST_CASE(ThenTheNextMessageTakesAnotherConnection)
{
    BOOST_REQUIRE(machine.awaitConnections(1, waitLimit));
    node.board.members().update(NodeId::of(machine.endpoint()), [&](MemberRecord& record) {
        record.said.endpoint = machine.endpoint();
        record.said.boot = { 3 };
    });
    node.send(machine.endpoint(), SectionListRequest { 2, 0 });
    BOOST_TEST(machine.awaitConnections(2, replyLimit));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against control messages that go out on a silent connection for as long as no request waits on it.
BOOST_AUTO_TEST_SUITE(WhenTheConnectionGoesSilentForGood)

BOOST_AUTO_TEST_CASE(ThenControlMessagesSoonTakeAnother)
{
    BOOST_REQUIRE(machine.awaitConnections(1, waitLimit));
    bool hasAnother = false;
    for (auto waited = sendPeriod; !hasAnother && waited < replyLimit; waited += sendPeriod) {
        node.send(machine.endpoint(), SectionListRequest { 2, 0 });
        hasAnother = machine.awaitConnections(2, sendPeriod);
    }
    BOOST_TEST(hasAnother);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

// libraries: testfleet
// Clients outside the limits whom rates and slots let in, against nodes that are not told how much memory they have.
#include "Flood.h"

#include <sys/eventfd.h>
#include <thread>

using namespace Vanillaridge;

namespace {

// The smallest instance of the platform: memory and descriptors.
constexpr size_t memoryBound = 160'000'000;
constexpr size_t descriptorBound = 4100;
const std::string limits = "descriptors = 4100\nconnections = 4000\nhead-timeout = \"60s\"\nbody-timeout = \"60s\"\n";
constexpr uint32_t slots = 4000;
// Clients at once, and their bodies: legal up to 64 MiB, and ten bytes short of their end.
constexpr size_t clientCount = measuresMemory ? 1500 : 150;
constexpr size_t bodyBytes = 20 << 20;
constexpr size_t bytesMissing = 10;
constexpr size_t smallChunkBytes = 60'000;
constexpr size_t headBytes = 15'000;

std::string requestLine(const std::string& method, const std::string& target)
{
    return method + " " + target + " HTTP/1.1\r\nHost: a\r\n";
}

std::string withKeyOf(const std::string& account) { return "Authorization: Bearer " + testKey(account) + "\r\n"; }

std::string uploadHead(const std::string& framing)
{
    return requestLine("POST", "/sink/write/flood") + withKeyOf("north") + framing + "\r\n\r\n";
}

std::vector<Flood> floods()
{
    const std::string kilobyte(1000, 'x');
    const auto length = "Content-Length: " + std::to_string(bodyBytes);
    const std::string chunked = "Transfer-Encoding: chunked";
    return {
        { "whole bodies", uploadHead(length), kilobyte, bodyBytes - bytesMissing },
        { "bodies piece by piece", uploadHead(length), kilobyte, bodyBytes - bytesMissing, 8000 },
        { "chunks of one byte", uploadHead(chunked), "1\r\nx\r\n", smallChunkBytes * 6 },
        { "one large chunk", uploadHead(chunked) + fmt::format("{:x}\r\n", bodyBytes), kilobyte,
            bodyBytes - bytesMissing },
        { "whole bodies without a key", requestLine("POST", "/sink/write/flood") + length + "\r\n\r\n", kilobyte,
            bodyBytes - bytesMissing },
        { "heads without an end", requestLine("GET", "/photos/read/flood") + withKeyOf("north") + "Long: ", kilobyte,
            headBytes },
        { "large answers that nobody reads",
            requestLine("GET", "/photos/read/flood?size=1000000") + withKeyOf("north") + "\r\n", "", 0 },
    };
}

// A backend server that accepts connections and never reads from them.
class UnreadingServer {
public:
    UnreadingServer()
        : m_listener(::socket(AF_INET, SOCK_STREAM, 0))
        , m_stop(::eventfd(0, 0))
        , m_endpoint(fmt::format("127.0.0.1:{}", freePort()))
    {
        const auto address = addressOf(m_endpoint);
        BOOST_REQUIRE(::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
        BOOST_REQUIRE(::listen(m_listener, SOMAXCONN) == 0);
        m_thread = std::thread([this] { acceptAll(); });
    }

    ~UnreadingServer()
    {
        constexpr uint64_t one = 1;
        [[maybe_unused]] const auto written = ::write(m_stop, &one, sizeof(one));
        m_thread.join();
        for (const int descriptor : m_accepted)
            ::close(descriptor);
        ::close(m_listener);
        ::close(m_stop);
    }
    UnreadingServer(const UnreadingServer&) = delete;

    const std::string& endpoint() const { return m_endpoint; }

private:
    void acceptAll()
    {
        std::array<pollfd, 2> waiting { { { m_listener, POLLIN, 0 }, { m_stop, POLLIN, 0 } } };
        while (::poll(waiting.data(), waiting.size(), -1) > 0 && !waiting[1].revents) {
            const int descriptor = ::accept(m_listener, nullptr, nullptr);
            if (descriptor >= 0)
                m_accepted.push_back(descriptor);
        }
    }

    const int m_listener;
    const int m_stop;
    const std::string m_endpoint;
    std::vector<int> m_accepted;
    std::thread m_thread;
};

// Rates, slots and connections let the crowd in, and requests outlast it.
std::string manifest()
{
    constexpr double rate = 900'000;
    auto text = testManifest({ "photos", "sink" }, rate, rate);
    const auto replaceAll = [&](const std::string& from, const std::string& to) {
        for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
            text.replace(at, from.size(), to);
    };
    replaceAll("slots = 16\nconnections = 64", fmt::format("slots = {0}\nconnections = {0}", slots));
    replaceAll("timeout = \"5s\"", "timeout = \"60s\"");
    return text;
}

// The backend servers are beside the last node; the first one takes the crowd.
struct OpenFleet {
    explicit OpenFleet(size_t nodes)
    {
        if (nodes > 1)
            fleet.add({ .service = {}, .serverArguments = {}, .limits = limits });
        fleet.add({ .service = "photos", .serverArguments = {}, .slots = slots, .limits = limits });
        BOOST_REQUIRE(fleet.start(manifest()));
        BOOST_REQUIRE(warm(fleet.node(0), "photos"));
        announceSink();
        BOOST_REQUIRE(eventually([this] {
            const auto status = fleet.node(0).status();
            const auto* known = status.if_contains("servers");
            return known && known->as_array().size() == fleet.serverCount() + 1;
        }));
    }

    void announceSink()
    {
        constexpr int64_t termMilliseconds = 60'000;
        const boost::json::object news { { "service", "sink" }, { "endpoint", sink.endpoint() }, { "slots", slots },
            { "termMilliseconds", termMilliseconds }, { "generation", 1 } };
        const auto answer = callHttp(fleet.node(fleet.size() - 1).servers(),
            { "POST", "/vanillaridge/announce", { { "content-type", "application/json" } }, serialize(news) });
        BOOST_REQUIRE(answer.status == 200u);
    }

    void endure(const Flood& flood)
    {
        BOOST_TEST_CONTEXT(flood.name)
        {
            BOOST_TEST_MESSAGE(flood.name);
            announceSink();
            std::vector<std::unique_ptr<FloodClient>> clients;
            const auto address = addressOf(fleet.node(0).callers());
            for (size_t i = 0; i < clientCount; ++i)
                clients.push_back(std::make_unique<FloodClient>(address, flood));
            sendAll(clients);
            check();
            BOOST_TEST(isServed());
            check();
            clients.clear();
            BOOST_TEST(isServed());
        }
    }

    void check()
    {
        for (size_t i = 0; i < fleet.size(); ++i) {
            BOOST_TEST_CONTEXT("node " << i) { checkBounds(fleet.node(i).process(), memoryBound, descriptorBound); }
        }
    }

    bool isServed()
    {
        return eventually([this] {
            return callHttp(fleet.node(0).callers(), readCall("photos")).status == 200
                && callHttp(fleet.node(0).callers(), writeCall("photos", "ordinary")).status == 200;
        });
    }

    UnreadingServer sink;
    Fleet fleet;
};

} // namespace

BOOST_AUTO_TEST_SUITE(GivenNodesThatAreNotToldTheirMemory)

// Guards against a process that outgrows a small instance, since its bound follows from the memory of a large machine.
BOOST_AUTO_TEST_SUITE(WhenRatesAndSlotsLetAFloodIn)

BOOST_AUTO_TEST_CASE(ThenOneNodeStaysWithinTheSmallestInstanceAndServes)
{
    OpenFleet open(1);
    for (const auto& flood : floods())
        open.endure(flood);
}

BOOST_AUTO_TEST_CASE(ThenEntryAndGuardStayWithinTheSmallestInstanceAndServe)
{
    OpenFleet open(2);
    for (const auto& flood : floods())
        open.endure(flood);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

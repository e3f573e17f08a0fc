// libraries: testfleet
// Clients outside the limits, against the system's own processes with little memory. Nothing here depends on the speed
// of the machine: checked are that the processes live, that memory and open descriptors stay under their bounds, and
// that an ordinary request is answered afterwards.
#include "Flood.h"

using namespace Vanillaridge;

namespace {

// The instance: memory and descriptors that each process may use, and connections that it takes.
constexpr size_t memoryBound = 40 << 20;
constexpr size_t descriptorBound = 3600;
const std::string limits = "memory = \"40MiB\"\ndescriptors = 3600\nconnections = 1600\nhead-timeout = \"60s\"\n"
                           "body-timeout = \"60s\"\n";
// The flood: clients at once, and their bodies, which are legal up to 256 KiB and stop ten bytes before their end.
constexpr size_t clientCount = measuresMemory ? 1500 : 150;
constexpr size_t bodyBytes = 250'000;
constexpr size_t bytesMissing = 10;
constexpr size_t bytesOverLimit = 1 << 20;
constexpr size_t headBytes = 15'000;

std::string requestLine(const std::string& method, const std::string& target)
{
    return method + " " + target + " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + testKey("north") + "\r\n";
}

std::string uploadHead(const std::string& framing)
{
    return requestLine("POST", "/photos/write/flood") + framing + "\r\n\r\n";
}

std::string withLength(size_t length) { return uploadHead("Content-Length: " + std::to_string(length)); }

std::string oneChunk(size_t length)
{
    return uploadHead("Transfer-Encoding: chunked") + fmt::format("{:x}\r\n", length);
}

std::vector<Flood> floods()
{
    const std::string kilobyte(1000, 'x');
    return {
        { "whole bodies with a length, servers that do not read", withLength(bodyBytes), kilobyte,
            bodyBytes - bytesMissing, 0, true },
        { "whole bodies with a length", withLength(bodyBytes), kilobyte, bodyBytes - bytesMissing },
        { "bodies with a length, piece by piece", withLength(bodyBytes), kilobyte, bodyBytes - bytesMissing, 8000 },
        { "bodies announced over the limit", withLength(size_t(1) << 40), kilobyte, bytesOverLimit },
        { "bodies sent over the limit", uploadHead("Transfer-Encoding: chunked"), "3e8\r\n" + kilobyte + "\r\n",
            bytesOverLimit },
        { "small chunks", uploadHead("Transfer-Encoding: chunked"), "1\r\nx\r\n", bodyBytes },
        { "one large chunk", oneChunk(bodyBytes), kilobyte, bodyBytes - bytesMissing, 8000 },
        { "one large chunk, servers that do not read", oneChunk(bodyBytes), kilobyte, bodyBytes - bytesMissing, 0,
            true },
        { "heads without an end", requestLine("GET", "/photos/read/flood") + "Long: ", kilobyte, headBytes },
        { "large answers that nobody reads", requestLine("GET", "/photos/read/flood?size=1000000") + "\r\n", "", 0 },
    };
}

// Bodies are legal up to 256 KiB.
std::string manifest()
{
    auto text = testManifest({ "photos" });
    const std::string limit = "body-limit = \"64MiB\"";
    for (auto at = text.find(limit); at != std::string::npos; at = text.find(limit, at + 1))
        text.replace(at, limit.size(), "body-limit = \"256KiB\"");
    return text;
}

// One node takes the flood; with two, the backend server is beside the other.
struct FloodedFleet {
    explicit FloodedFleet(size_t nodes)
    {
        if (nodes > 1)
            fleet.add({ .service = {}, .serverArguments = {}, .limits = limits });
        fleet.add({ .service = "photos", .serverArguments = {}, .limits = limits });
        BOOST_REQUIRE(fleet.start(manifest()));
        BOOST_REQUIRE(warm(fleet.node(0), "photos"));
    }

    void endure(const Flood& flood)
    {
        BOOST_TEST_CONTEXT(flood.name)
        {
            auto& server = fleet.node(fleet.size() - 1).serverProcess();
            if (flood.serversStop)
                server.signal(SIGSTOP);
            std::vector<std::unique_ptr<FloodClient>> clients;
            const auto address = addressOf(fleet.node(0).callers());
            for (size_t i = 0; i < clientCount; ++i)
                clients.push_back(std::make_unique<FloodClient>(address, flood));
            sendAll(clients);
            check();
            if (flood.serversStop)
                server.signal(SIGCONT);
            // While the flood stays open, and after it has left.
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

    Fleet fleet;
};

} // namespace

BOOST_AUTO_TEST_SUITE(GivenClientsOutsideTheLimits)

// Guards against a process that runs out of memory for what clients leave with it.
BOOST_AUTO_TEST_SUITE(WhenManyOfThemStopShortOfTheirEnd)

BOOST_AUTO_TEST_CASE(ThenOneNodeStaysWithinItsMemoryAndServes)
{
    FloodedFleet flooded(1);
    for (const auto& flood : floods())
        flooded.endure(flood);
}

BOOST_AUTO_TEST_CASE(ThenEntryAndGuardStayWithinTheirMemoryAndServe)
{
    FloodedFleet flooded(2);
    for (const auto& flood : floods())
        flooded.endure(flood);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

// libraries: testfleet
#include "PlatformFleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <map>
#include <random>
#include <rapidcheck.h>

using namespace Vanillaridge;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds patience(20'000);
constexpr int deadline = 8000;
constexpr size_t largestBody = 360'000;
constexpr size_t serverCount = 3;
constexpr size_t uploadsAtOnce = 6;
constexpr int leaveToSend = 100;
// The node's limit on waiting for the next piece of a body, and how late the end of a limit may be seen.
constexpr milliseconds bodyTimeout(10'000);
constexpr milliseconds mostHeld(500);

// --- What is played -------------------------------------------------------------------------------------------------

// What a backend server does with one arrival of a request.
struct ServerStep {
    enum class Kind : uint8_t {
        Run,
        // Says that it has not run it, and reads on.
        Reject,
        // The same, and ends the connection at once.
        RejectAndClose,
        // Ends the connection without an answer.
        Cut,
        // Answers for good before the body is in, and reads on.
        AnswerEarly,
    };
    Kind kind = Kind::Run;
    // Bytes of the body, as framed, that it reads before.
    size_t after = 0;
};

// What the caller does.
struct Upload {
    enum class Framing : uint8_t { Chunks, Length, OldLength };
    enum class End : uint8_t { AwaitAnswer, BreakOff, HalfClose };

    std::string id;
    std::string path;
    std::string content;
    Framing framing = Framing::Chunks;
    End end = End::AwaitAnswer;
    bool expectsContinue = false;
    // Sizes of the pieces in which it is written, and the pause behind each.
    std::vector<size_t> pieces;
    milliseconds pause { 0 };
    // Bytes after which the caller breaks off.
    size_t brokenOffAt = 0;
    std::vector<ServerStep> steps;

    bool isRepeatable() const { return path.starts_with("/read/"); }
};

// What a server got of one arrival.
struct Arrival {
    size_t server;
    std::string target;
    std::string body;
    // Its framing ended as it should.
    bool whole;
    // Whether it was worked on, or may have been.
    bool began;
};

class UploadGenerator {
public:
    explicit UploadGenerator(uint64_t seed)
        : m_random(seed)
    {
    }

    Upload draw(std::string id)
    {
        Upload upload;
        upload.id = std::move(id);
        upload.path = fmt::format("/{}/{}", oneOf<std::string_view>({ "read", "write" }), upload.id);
        const auto size = oneOf<size_t>({ 0, 1, 100, 4000, 16'384, 60'000, 65'536, 65'537, 70'000, 140'000, 250'000,
            between(1, largestBody), largestBody });
        while (upload.content.size() < size)
            upload.content += static_cast<char>(m_random());
        upload.framing = oneOf({ Upload::Framing::Chunks, Upload::Framing::Chunks, Upload::Framing::Length,
            Upload::Framing::Length, Upload::Framing::OldLength });
        upload.end = oneOf({ Upload::End::AwaitAnswer, Upload::End::AwaitAnswer, Upload::End::AwaitAnswer,
            Upload::End::AwaitAnswer, Upload::End::BreakOff, Upload::End::HalfClose });
        upload.expectsContinue = upload.framing != Upload::Framing::OldLength && between(0, 5) == 0;
        const auto largestPiece = oneOf<size_t>({ 1000, 4000, 10'000, 16'384, 33'000, 65'536, largestBody });
        for (size_t left = size; left;) {
            upload.pieces.push_back(std::min(left, between(1, largestPiece)));
            left -= upload.pieces.back();
        }
        const auto longestPause = upload.pieces.size() > 50 ? 2 : 20;
        upload.pause = milliseconds(between(0, 1) * between(0, longestPause));
        upload.brokenOffAt = between(0, size);
        // A server that does nothing unusual ends the list.
        for (auto count = between(0, serverCount); count; --count) {
            const auto kind = oneOf({ ServerStep::Kind::Reject, ServerStep::Kind::Reject, ServerStep::Kind::Reject,
                ServerStep::Kind::RejectAndClose, ServerStep::Kind::Cut, ServerStep::Kind::AnswerEarly });
            const auto after = oneOf<size_t>({ 0, 1000, 40'000, 60'000, 64'000, 65'536, between(0, size), size });
            upload.steps.push_back({ kind, std::min(after, size) });
        }
        return upload;
    }

private:
    size_t between(size_t least, size_t most) { return std::uniform_int_distribution<size_t>(least, most)(m_random); }
    template <typename Value> Value oneOf(std::initializer_list<Value> values)
    {
        return values.begin()[between(0, values.size() - 1)];
    }

    std::mt19937_64 m_random;
};

// --- Servers and callers --------------------------------------------------------------------------------------------

// One node where callers are, and three beside servers of a service.
struct ThreeServers {
    ThreeServers()
        : entry(fleet, 0, "desk")
    {
        const std::vector<PlatformRoute> routes { { "/read/", "photos", "idempotent" },
            { "/write/", "photos", "upload" } };
        BOOST_REQUIRE(putPlatformConfiguration(fleet, routes, 2 * largestBody));
        entry.start();
        for (size_t i = 0; i < serverCount; ++i) {
            guards.push_back(std::make_unique<PlatformNode>(fleet, i + 1, "photos"));
            guards.back()->start();
            servers.push_back(
                std::make_unique<RawServer>([this, i](RawConnection& connection) { serve(i, connection); }));
        }
        const auto isReady = [](const auto& guard) { return guard->isReady(); };
        BOOST_REQUIRE(
            eventually([&] { return entry.isReady() && std::all_of(guards.begin(), guards.end(), isReady); }));
        for (size_t i = 0; i < serverCount; ++i)
            BOOST_REQUIRE(eventually([&] { return guards[i]->announce(servers[i]->endpoint()); }));
        BOOST_REQUIRE(eventually([&] { return knowsAllServers(); }));
    }

    // Whether requests reach each server.
    bool knowsAllServers()
    {
        Upload upload;
        upload.id = fmt::format("warm-up-{}", ++warmUps);
        upload.path = "/read/" + upload.id;
        plan(upload);
        ask(upload);
        std::lock_guard guard(lock);
        std::map<size_t, int> reached;
        for (const auto& [id, list] : arrivals) {
            for (const auto& arrival : list)
                ++reached[arrival.server];
        }
        return reached.size() == serverCount;
    }

    void plan(const Upload& upload)
    {
        std::lock_guard guard(lock);
        plans[upload.id] = upload.steps;
        arrivals[upload.id].clear();
    }

    // Takes up an arrival, and tells what to do with it.
    ServerStep nextStep(const std::string& id)
    {
        std::lock_guard guard(lock);
        ++arrivalsUnderWay;
        auto& steps = plans[id];
        if (steps.empty())
            return {};
        const auto step = steps.front();
        steps.erase(steps.begin());
        return step;
    }

    void serve(size_t server, RawConnection& connection)
    {
        while (auto request = connection.readHead(patience)) {
            const auto id = request->header("Request-Id");
            const auto step = nextStep(id);
            const bool goesOn = play(step, connection, *request);
            using Kind = ServerStep::Kind;
            // A request that is cut off may have been begun, as far as anybody else can know.
            const bool began = step.kind == Kind::AnswerEarly || step.kind == Kind::Cut
                || (step.kind == Kind::Run && request->whole);
            std::lock_guard guard(lock);
            arrivals[id].push_back({ server, request->target(), request->body, request->whole, began });
            --arrivalsUnderWay;
            if (!goesOn)
                return;
        }
    }

    // Whether the connection goes on.
    static bool play(const ServerStep& step, RawConnection& connection, RawMessage& request)
    {
        constexpr milliseconds stepLimit(5000);
        const auto ok = fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: test\r\n"
                                    "Content-Length: 4\r\n\r\ndone",
            request.header("Request-Id"));
        constexpr std::string_view rejection
            = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        if (step.kind == ServerStep::Kind::Run) {
            connection.readBody(request, patience);
            return request.whole && connection.send(ok);
        }
        connection.awaitBytes(step.after, stepLimit);
        switch (step.kind) {
        case ServerStep::Kind::Reject:
            connection.send(rejection);
            connection.readBody(request, stepLimit);
            return request.whole;
        case ServerStep::Kind::RejectAndClose:
            connection.send(rejection);
            return false;
        case ServerStep::Kind::AnswerEarly:
            connection.send(ok);
            connection.readBody(request, stepLimit);
            return request.whole;
        default:
            connection.reset();
            return false;
        }
    }

    std::string headOf(const Upload& upload) const
    {
        const bool isOld = upload.framing == Upload::Framing::OldLength;
        auto head = fmt::format("POST {} HTTP/{}\r\nHost: {}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n", upload.path,
            isOld ? "1.0" : "1.1", platformHost, upload.id, deadline);
        head += upload.framing == Upload::Framing::Chunks
            ? std::string("Transfer-Encoding: chunked\r\n")
            : fmt::format("Content-Length: {}\r\n", upload.content.size());
        if (upload.expectsContinue)
            head += "Expect: 100-continue\r\n";
        return head + "\r\n";
    }

    // The answer; nothing where the caller did not stay for it, or got none.
    std::optional<RawMessage> ask(const Upload& upload)
    {
        // 1. The head.
        RawConnection connection(entry.callers());
        const auto start = SteadyClock::now();
        connection.send(headOf(upload));
        if (upload.expectsContinue && !upload.content.empty()) {
            auto interim = connection.read(patience);
            if (!interim || interim->status() != leaveToSend)
                return interim;
        }

        // 2. The body, until an answer comes.
        size_t sent = 0;
        bool isAnswered = false;
        for (const auto size : upload.pieces) {
            isAnswered = connection.awaitBytes(1, std::max(upload.pause, milliseconds(1)));
            if (isAnswered)
                break;
            const bool isBroken = upload.end == Upload::End::BreakOff && sent + size > upload.brokenOffAt;
            if (isBroken)
                return std::nullopt;
            const auto piece = std::string_view(upload.content).substr(sent, size);
            connection.send(upload.framing == Upload::Framing::Chunks ? chunkOf(piece) : std::string(piece));
            sent += size;
        }
        if (!isAnswered && upload.framing == Upload::Framing::Chunks)
            connection.send("0\r\n\r\n");
        if (!isAnswered && upload.end == Upload::End::HalfClose)
            connection.finishSending();

        // 3. The answer, in time.
        auto answer = connection.read(patience);
        if (answer && answer->status() == leaveToSend)
            answer = connection.read(patience);
        const auto took = std::chrono::duration_cast<milliseconds>(SteadyClock::now() - start);
        std::lock_guard guard(lock);
        longestWait = std::max(longestWait, took);
        return answer && answer->whole ? answer : std::nullopt;
    }

    std::vector<Arrival> arrivalsOf(const std::string& id)
    {
        std::lock_guard guard(lock);
        return arrivals[id];
    }

    // What is wrong with how the upload went; empty if nothing is.
    std::string faultOf(const Upload& upload, const std::optional<RawMessage>& answer)
    {
        const auto all = arrivalsOf(upload.id);
        size_t begun = 0;
        for (const auto& arrival : all) {
            begun += arrival.began;
            if (arrival.target != upload.path)
                return fmt::format("{} ran under {}", upload.path, arrival.target);
            if (!upload.content.starts_with(arrival.body))
                return fmt::format("{}: a server got other bytes", upload.id);
            if (arrival.whole && arrival.body.size() != upload.content.size())
                return fmt::format("{}: a server got {} of {} bytes as the whole body", upload.id, arrival.body.size(),
                    upload.content.size());
        }
        if (!upload.isRepeatable() && begun > 1)
            return fmt::format("{} may have run {} times", upload.id, begun);
        if (!answer)
            return upload.end == Upload::End::AwaitAnswer ? upload.id + " got no answer" : std::string();
        const bool isPromise = answer->status() == 503 || answer->status() == 429 || answer->status() == 408;
        if (isPromise && begun)
            return fmt::format("{} got {} and may have run", upload.id, answer->status());
        const auto isRejection = [](const ServerStep& step) { return step.kind == ServerStep::Kind::Reject; };
        // A caller that has closed its side counts as gone.
        if (answer->status() == 502 && upload.end != Upload::End::HalfClose
            && std::all_of(upload.steps.begin(), upload.steps.end(), isRejection))
            return upload.id + " was only rejected, and got 502";
        const bool isServed = answer->status() == 200;
        if (isServed && (answer->body != "done" || answer->header("Response-Signature") != "test" || !begun))
            return upload.id + " got an answer that is not the server's";
        if (isServed || isPromise || answer->status() == 502)
            return {};
        return fmt::format("{} got {}", upload.id, answer->status());
    }

    std::string describe(const Upload& upload, const std::optional<RawMessage>& answer)
    {
        auto text
            = fmt::format("{} {} bytes, framing {}, end {} at {}, continue {}, {} pieces, pause {} ms, answer {} {};",
                upload.path, upload.content.size(), static_cast<int>(upload.framing), static_cast<int>(upload.end),
                upload.brokenOffAt, upload.expectsContinue, upload.pieces.size(), upload.pause.count(),
                answer ? answer->status() : 0, answer ? answer->body : "");
        for (const auto& step : upload.steps)
            text += fmt::format(" planned {} after {};", static_cast<int>(step.kind), step.after);
        for (const auto& arrival : arrivalsOf(upload.id))
            text += fmt::format(" server {} got {} whole {};", arrival.server, arrival.body.size(), arrival.whole);
        return text;
    }

    // A server that answers early still reads when its caller has the answer.
    bool haveArrivalsEnded()
    {
        std::lock_guard guard(lock);
        return !arrivalsUnderWay;
    }

    // Plays several uploads at once; what went wrong with them.
    std::vector<std::string> playTogether(uint64_t seed)
    {
        UploadGenerator generator(seed);
        std::vector<Upload> uploads;
        for (size_t i = 0; i < uploadsAtOnce; ++i) {
            uploads.push_back(generator.draw(fmt::format("{:x}-{}", seed, i)));
            plan(uploads.back());
        }
        std::vector<std::optional<RawMessage>> answers(uploads.size());
        {
            std::vector<std::jthread> callers;
            for (size_t i = 0; i < uploads.size(); ++i)
                callers.emplace_back([&, i] { answers[i] = ask(uploads[i]); });
        }
        std::vector<std::string> faults;
        if (!eventually([this] { return haveArrivalsEnded(); }))
            faults.emplace_back("a server still reads");
        for (size_t i = 0; i < uploads.size(); ++i) {
            if (auto fault = faultOf(uploads[i], answers[i]); !fault.empty())
                faults.push_back(fault + ": " + describe(uploads[i], answers[i]));
            ++statuses[answers[i] ? answers[i]->status() : 0];
        }
        return faults;
    }

    std::mutex lock;
    std::map<std::string, std::vector<ServerStep>> plans;
    std::map<std::string, std::vector<Arrival>> arrivals;
    size_t arrivalsUnderWay = 0;
    std::map<int, int> statuses;
    milliseconds longestWait { 0 };
    int warmUps = 0;
    Fleet fleet;
    std::vector<std::unique_ptr<RawServer>> servers;
    PlatformNode entry;
    std::vector<std::unique_ptr<PlatformNode>> guards;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GivenUploadsOfAnyPaceAndFraming, ThreeServers)

BOOST_AUTO_TEST_SUITE(WhenServersRejectThemAtAnyMoment)

// Guards against a server that runs other bytes than its caller sent, and against answers that say otherwise.
BOOST_AUTO_TEST_CASE(ThenEachServerRunsWhatItsCallerSent)
{
    const bool holds = rc::check([&] {
        const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
        const auto faults = playTogether(seed);
        for (const auto& fault : faults)
            BOOST_ERROR("seed " << seed << ": " << fault);
        RC_ASSERT(faults.empty());
    });
    BOOST_TEST(holds);
    for (const auto& [status, count] : statuses)
        BOOST_TEST_MESSAGE("answered with " << status << ": " << count);
    BOOST_TEST(longestWait.count() < deadline);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItsCallerSendsNothingMore)

// Guards against a request that is held past its deadline, because the next attempt waits for its caller.
BOOST_AUTO_TEST_CASE(ThenARejectedOneIsAnsweredByItsDeadline)
{
    Upload upload;
    upload.id = "stalled";
    upload.path = "/write/stalled";
    upload.content = std::string(140'000, 'x');
    upload.steps = { { ServerStep::Kind::Reject, 60'000 }, { ServerStep::Kind::Reject, 60'000 } };
    plan(upload);
    RawConnection connection(entry.callers());
    const auto start = SteadyClock::now();
    connection.send(headOf(upload));
    connection.send(chunkOf(std::string_view(upload.content).substr(0, 60'000)));
    const auto answer = connection.read(patience);
    BOOST_REQUIRE(answer);
    BOOST_TEST((SteadyClock::now() - start < milliseconds(deadline) + mostHeld));
    BOOST_TEST(connection.awaitEnd(bodyTimeout + mostHeld));
}

// Guards against a connection that stays for ever, because the reply under way ended the limit of the reading.
BOOST_AUTO_TEST_CASE(ThenOneThatIsAnsweredEarlyDoesNotHoldItsConnection)
{
    Upload upload;
    upload.id = "early";
    upload.path = "/write/early";
    upload.content = std::string(140'000, 'x');
    upload.steps = { { ServerStep::Kind::AnswerEarly, 1000 } };
    plan(upload);
    RawConnection connection(entry.callers());
    connection.send(headOf(upload));
    connection.send(chunkOf(std::string_view(upload.content).substr(0, 10'000)));
    const auto answer = connection.read(patience);
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->status() == 200);
    BOOST_TEST(connection.awaitEnd(bodyTimeout + mostHeld));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

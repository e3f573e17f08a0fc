// libraries: node
#include "node/RequestBody.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <fmt/format.h>
#include <future>
#include <mutex>
#include <thread>

using namespace Vanillaridge;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr auto patience = std::chrono::seconds(20);

// Tells the test that a stream got something.
class Progress {
public:
    void note()
    {
        {
            std::lock_guard guard(m_lock);
            ++m_count;
        }
        m_changed.notify_all();
    }

    uint64_t count() const
    {
        std::lock_guard guard(m_lock);
        return m_count;
    }

    // Waits until there is more than the count; false after the deadline.
    bool awaitMore(uint64_t count, std::chrono::steady_clock::time_point deadline)
    {
        std::unique_lock guard(m_lock);
        return m_changed.wait_until(guard, deadline, [&] { return m_count > count; });
    }

private:
    mutable std::mutex m_lock;
    std::condition_variable m_changed;
    uint64_t m_count = 0;
};

// What one guard got of a body. Used on the exchange's strand, and looked at from the test through look().
class GuardStream final : public MessageStream {
public:
    explicit GuardStream(Progress& progress)
        : m_progress(progress)
    {
    }

    Task<std::optional<StreamMessage>> receive() override { co_return std::nullopt; }
    std::optional<StreamMessage> takeNow() override { return std::nullopt; }
    bool send(StreamMessage) override { return !closed; }
    Task<bool> sendBody(BodyChunk chunk) override
    {
        if (closed) {
            ++refused;
            m_progress.note();
            co_return false;
        }
        bytes += chunk.bytes;
        whole = whole || chunk.last;
        m_progress.note();
        co_return true;
    }
    void stopBody() override { closed = true; }
    void grantCredit(size_t) override { }
    void waitThroughSilence(std::function<void()>) override { }
    void close() override { closed = true; }
    const Hello& peer() const override { return hello; }

    std::string bytes;
    bool whole = false;
    bool closed = false;
    int refused = 0;
    Hello hello;

private:
    Progress& m_progress;
};

// Hands the exchange and its body to the test, and answers when the test says so.
class BodyHandler final : public HttpHandler {
public:
    Task<void> serve(std::shared_ptr<HttpExchange> exchange) override
    {
        auto body = std::make_shared<RequestBody>(exchange, bodyLimit, [] {});
        taken.set_value({ exchange, body });
        co_await done.wait();
        SimpleReply reply { 200, {}, "done" };
        co_await exchange->reply(std::move(reply));
    }

    SimpleReply rejection(Reason reason) override { return { row(reason).httpStatus, {}, {} }; }

    static constexpr uint64_t bodyLimit = 1 << 20;
    struct Taken {
        std::shared_ptr<HttpExchange> exchange;
        std::shared_ptr<RequestBody> body;
    };
    std::promise<Taken> taken;
    Event done;
};

// A caller whose upload comes in piece by piece, and an entry that sends it to one guard after the other.
struct Upload {
    Upload()
        : server(context, {}, handler)
    {
        BOOST_REQUIRE(!server.listen("127.0.0.1:0"));
        thread = std::jthread([this] { context.run(); });
        const auto endpoint = server.endpoint();
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"),
            static_cast<uint16_t>(std::stoul(endpoint.substr(endpoint.rfind(':') + 1))) });
    }

    ~Upload()
    {
        look([&] {
            handler.done.set();
            return true;
        });
        context.stop();
        thread.join();
    }

    void begin(bool isChunked)
    {
        this->isChunked = isChunked;
        for (size_t i = 0; i < size; ++i)
            content += static_cast<char>('a' + i % 23);
        write(fmt::format("POST / HTTP/1.1\r\nHost: a\r\n{}\r\n\r\n",
            isChunked ? std::string("Transfer-Encoding: chunked") : fmt::format("Content-Length: {}", size)));
        auto future = handler.taken.get_future();
        BOOST_REQUIRE((future.wait_for(patience) == std::future_status::ready));
        taken = future.get();
    }

    void write(std::string_view text) { boost::asio::write(socket, boost::asio::buffer(text)); }

    // The caller's next bytes.
    void upload(size_t count)
    {
        const auto piece = std::string_view(content).substr(uploaded, count);
        uploaded += piece.size();
        write(isChunked ? fmt::format("{:x}\r\n{}\r\n", piece.size(), piece) : std::string(piece));
        if (isChunked && uploaded == size)
            write("0\r\n\r\n");
    }

    // Runs on the exchange's strand, as the entry does.
    template <typename Look> auto look(Look look) -> decltype(look())
    {
        std::promise<decltype(look())> result;
        boost::asio::post(taken.exchange->strand(), [&] { result.set_value(look()); });
        return result.get_future().get();
    }

    template <typename Test> bool eventually(Test test)
    {
        const auto deadline = std::chrono::steady_clock::now() + patience;
        while (true) {
            const auto seen = progress.count();
            if (look(test))
                return true;
            if (!progress.awaitMore(seen, deadline))
                return false;
        }
    }

    std::shared_ptr<GuardStream> attempt()
    {
        auto stream = std::make_shared<GuardStream>(progress);
        look([&] {
            taken.body->startSending(stream);
            return true;
        });
        return stream;
    }

    // The guard refuses; whether the entry decides to try another.
    bool refuse(const std::shared_ptr<GuardStream>& stream)
    {
        return look([&] {
            const bool again = taken.body->holdForReplay();
            stream->close();
            return again;
        });
    }

    // Waits until nothing is read for the refused attempt any more, as the entry does before the next one.
    std::future<void> join()
    {
        auto joined = std::make_shared<std::promise<void>>();
        boost::asio::co_spawn(taken.exchange->strand(), awaitJoin(taken.body, joined), boost::asio::detached);
        return joined->get_future();
    }

    static Task<void> awaitJoin(std::shared_ptr<RequestBody> body, std::shared_ptr<std::promise<void>> joined)
    {
        co_await body->join();
        joined->set_value();
    }

    static constexpr size_t size = 140'000;
    // Outlive the exchanges that wait in the context.
    Progress progress;
    BodyHandler handler;
    boost::asio::io_context context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { context.get_executor() };
    HttpServer server;
    std::jthread thread;
    boost::asio::io_context callerContext;
    Tcp::socket socket { callerContext };
    BodyHandler::Taken taken;
    std::string content;
    size_t uploaded = 0;
    bool isChunked = false;
};

bool isReady(const std::future<void>& future)
{
    return future.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
}

} // namespace

BOOST_AUTO_TEST_SUITE(GivenAnUploadThatIsStillComingIn)

BOOST_AUTO_TEST_SUITE(WhenItsGuardRefusesItAndThePieceUnderWayEndsWhatCanBeKept)

// Guards against an upload that reaches its second server without its first part.
BOOST_AUTO_TEST_CASE(ThenTheNextGuardGetsAllOfIt)
{
    for (const bool isChunked : { true, false }) {
        BOOST_TEST_CONTEXT((isChunked ? "in chunks" : "with a length"))
        {
            Upload upload;
            upload.begin(isChunked);
            const auto first = upload.attempt();
            upload.upload(60'000);
            BOOST_REQUIRE(upload.eventually([&] { return first->bytes.size() == 60'000; }));
            BOOST_REQUIRE(upload.refuse(first));
            auto joined = upload.join();
            upload.upload(10'000);
            BOOST_REQUIRE((joined.wait_for(patience) == std::future_status::ready));
            const auto second = upload.attempt();
            upload.upload(Upload::size);
            BOOST_TEST(upload.eventually([&] { return second->whole; }));
            BOOST_TEST((second->bytes == upload.content), "got " << second->bytes.size() << " bytes");
            BOOST_TEST(!first->whole);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTwoGuardsRefuseItOneAfterTheOther)

// Guards against an attempt that reads the caller's connection beside the one before it.
BOOST_AUTO_TEST_CASE(ThenNothingIsReadForThemOnceTheThirdGetsIt)
{
    Upload upload;
    upload.begin(true);
    // 1. The first attempt's sending ends before it is waited for.
    const auto first = upload.attempt();
    upload.upload(1000);
    BOOST_REQUIRE(upload.eventually([&] { return first->bytes.size() == 1000; }));
    BOOST_REQUIRE(upload.refuse(first));
    upload.upload(1000);
    BOOST_REQUIRE(upload.eventually([&] { return first->refused == 1; }));
    BOOST_REQUIRE((upload.join().wait_for(patience) == std::future_status::ready));
    // 2. The second attempt's sending still reads when it is waited for.
    const auto second = upload.attempt();
    BOOST_REQUIRE(upload.eventually([&] { return second->bytes.size() == 2000; }));
    BOOST_REQUIRE(upload.refuse(second));
    auto joined = upload.join();
    upload.look([] { return true; });
    BOOST_TEST(!isReady(joined));
    upload.upload(1000);
    BOOST_REQUIRE((joined.wait_for(patience) == std::future_status::ready));
    // 3. The third gets all.
    const auto third = upload.attempt();
    upload.upload(Upload::size);
    BOOST_TEST(upload.eventually([&] { return third->whole; }));
    BOOST_TEST((third->bytes == upload.content), "got " << third->bytes.size() << " bytes");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenMoreOfItWasReadThanCanBeKept)

BOOST_AUTO_TEST_CASE(ThenItCannotBeSentAgain)
{
    Upload upload;
    upload.begin(true);
    const auto first = upload.attempt();
    upload.upload(70'000);
    BOOST_REQUIRE(upload.eventually([&] { return first->bytes.size() == 70'000; }));
    BOOST_TEST(!upload.refuse(first));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

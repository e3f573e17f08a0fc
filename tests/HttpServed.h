// An HTTP server in the test itself, and callers that write bytes as given.
#pragma once

#include "http/Http.h"

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

namespace Vanillaridge {

using Tcp = boost::asio::ip::tcp;

// Bytes that are held for a request for "/held", whatever room there is for them.
constexpr uint64_t forcedBytes = 64 * 1024;

// Answers each request with its own body or target; "/wait" is answered once its caller has left, to nobody.
class Echo final : public HttpHandler {
public:
    Task<void> serve(std::shared_ptr<HttpExchange> exchange) override
    {
        if (exchange->head().target == "/wait") {
            co_await awaitLeaving(exchange);
            co_return;
        }
        if (exchange->head().target == "/held")
            exchange->forceBuffers(forcedBytes);
        std::string body = exchange->head().target;
        BodyEnd end = exchange->head().hasBody ? BodyEnd::More : BodyEnd::Last;
        while (end == BodyEnd::More) {
            auto piece = co_await exchange->readBody();
            body += piece.bytes;
            end = piece.end;
        }
        SimpleReply reply { end == BodyEnd::Last ? uint16_t(200) : uint16_t(408), {}, body };
        co_await exchange->reply(std::move(reply));
    }

    SimpleReply rejection(Reason reason) override
    {
        return { row(reason).httpStatus, {}, std::string(toText(reason)) };
    }

    std::promise<void> callerLeft;

private:
    Task<void> awaitLeaving(std::shared_ptr<HttpExchange> exchange)
    {
        const auto left = std::make_shared<Event>();
        exchange->onCallerGone([left] { left->set(); });
        const bool told = co_await left->wait();
        if (told)
            callerLeft.set_value();
    }
};

// A server on a thread of its own.
template <typename Handler> struct BasicServed {
    explicit BasicServed(HttpLimits limits = {})
        : server(context, limits, handler)
    {
        BOOST_REQUIRE(!server.listen("127.0.0.1:0"));
        thread = std::jthread([this] { context.run(); });
    }

    ~BasicServed() { context.stop(); }

    Tcp::endpoint address() const
    {
        const auto text = server.endpoint();
        return { boost::asio::ip::make_address("127.0.0.1"),
            static_cast<uint16_t>(std::stoul(text.substr(text.rfind(':') + 1))) };
    }

    Handler handler;
    boost::asio::io_context context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { context.get_executor() };
    HttpServer server;
    std::jthread thread;
};

using Served = BasicServed<Echo>;

// A caller that writes bytes as given, and reads until a text has come.
struct Caller {
    template <typename Handler> explicit Caller(const BasicServed<Handler>& served)
    {
        socket.connect(served.address());
    }

    // Whether something comes, be it the end of the connection.
    bool awaitReply(Duration limit)
    {
        bool hasCome = false;
        socket.async_wait(Tcp::socket::wait_read, [&](const boost::system::error_code& error) { hasCome = !error; });
        context.restart();
        context.run_for(limit);
        return hasCome;
    }

    void write(std::string_view text) { boost::asio::write(socket, boost::asio::buffer(text)); }

    std::string readUntil(std::string_view end)
    {
        std::string text;
        std::array<char, 4096> bytes;
        boost::system::error_code error;
        while (!error && text.find(end) == std::string::npos)
            text.append(bytes.data(), socket.read_some(boost::asio::buffer(bytes), error));
        return text;
    }

    boost::asio::io_context context;
    Tcp::socket socket { context };
};

} // namespace Vanillaridge

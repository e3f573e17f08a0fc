#include "Fleet.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Vanillaridge {

namespace {

    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    using Tcp = boost::asio::ip::tcp;
    using ErrorCode = boost::system::error_code;

    constexpr uint64_t largestAnswer = uint64_t(256) << 20;

} // namespace

struct HttpConnection::State {
    // Runs one asynchronous step to its end, within the stream's time limit.
    template <typename Start> ErrorCode run(Start&& start)
    {
        ErrorCode result;
        start([&](ErrorCode error, auto...) { result = error; });
        context.restart();
        context.run();
        return result;
    }

    boost::asio::io_context context;
    beast::tcp_stream stream { context };
    beast::flat_buffer buffer;
    bool connected = false;
};

HttpConnection::HttpConnection(const std::string& endpoint)
    : m_state(std::make_unique<State>())
{
    const auto colon = endpoint.rfind(':');
    const Tcp::endpoint address(boost::asio::ip::make_address(endpoint.substr(0, colon)),
        static_cast<uint16_t>(std::stoi(endpoint.substr(colon + 1))));
    m_state->stream.expires_after(std::chrono::seconds(2));
    m_state->connected = !m_state->run([&](auto done) { m_state->stream.async_connect(address, std::move(done)); });
}

HttpConnection::~HttpConnection() = default;

void HttpConnection::send(const HttpCall& call)
{
    http::request<http::string_body> request;
    request.method_string(call.method);
    request.target(call.target);
    request.version(11);
    request.set(http::field::host, "test");
    for (const auto& [name, value] : call.headers)
        request.set(name, value);
    request.body() = call.body;
    request.prepare_payload();
    m_state->stream.expires_after(call.patience);
    m_state->run([&](auto done) { http::async_write(m_state->stream, request, std::move(done)); });
}

HttpAnswer HttpConnection::call(const HttpCall& call)
{
    if (!m_state->connected)
        return {};
    // The answer is read also when the request could not be written to its end.
    send(call);
    return receive(call);
}

HttpAnswer HttpConnection::receive(const HttpCall& call)
{
    HttpAnswer answer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(largestAnswer);
    parser.skip(call.method == "HEAD");
    const auto error
        = m_state->run([&](auto done) { http::async_read(m_state->stream, m_state->buffer, parser, std::move(done)); });
    if (!parser.is_header_done())
        return answer;
    answer.status = parser.get().result_int();
    answer.cutShort = static_cast<bool>(error);
    answer.body = parser.get().body();
    for (const auto& field : parser.get()) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        answer.headers[name] = std::string(field.value());
    }
    m_state->connected = !error && parser.keep_alive();
    return answer;
}

std::string HttpConnection::exchangeRaw(const std::string& bytes, std::chrono::milliseconds patience)
{
    std::string received;
    if (!m_state->connected)
        return received;
    m_state->stream.expires_after(patience);
    m_state->run(
        [&](auto done) { boost::asio::async_write(m_state->stream, boost::asio::buffer(bytes), std::move(done)); });
    std::array<char, 4096> piece;
    size_t size = 0;
    while (true) {
        const auto error = m_state->run([&](auto done) {
            m_state->stream.async_read_some(
                boost::asio::buffer(piece), [&size, done = std::move(done)](ErrorCode result, size_t read) mutable {
                    size = read;
                    done(result);
                });
        });
        received.append(piece.data(), size);
        if (error)
            return received;
    }
}

HttpAnswer callHttp(const std::string& endpoint, const HttpCall& call) { return HttpConnection(endpoint).call(call); }

} // namespace Vanillaridge

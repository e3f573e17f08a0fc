// A small HTTP/1.1 server for stand-ins: hands each request to a function, which answers now or later, or misbehaves.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <string>

namespace StandIns {

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using Asio::ip::tcp;
using boost::system::error_code;

// What is kept of a body: its beginning, its length, and a checksum of all of it.
struct BodySample {
    static constexpr size_t longestText = 2 << 20;

    std::string text;
    uint64_t length { 0 };
    // FNV-1a.
    uint64_t checksum { 0xcbf29ce484222325 };

    void add(std::string_view piece)
    {
        length += piece.size();
        for (const unsigned char byte : piece)
            checksum = (checksum ^ byte) * 0x100000001b3;
        text.append(piece.substr(0, longestText - std::min(longestText, text.size())));
    }
};

// Reads a body into a sample, piece by piece.
class BodySampler {
public:
    template <bool isRequest, typename Fields>
    BodySampler(Http::header<isRequest, Fields>&, BodySample& sample)
        : m_sample(sample)
    {
    }
    void init(const boost::optional<uint64_t>&, error_code& error) { error = {}; }
    template <typename Buffers> size_t put(const Buffers& buffers, error_code& error)
    {
        error = {};
        size_t taken = 0;
        for (const auto buffer : Beast::buffers_range_ref(buffers)) {
            m_sample.add({ static_cast<const char*>(buffer.data()), buffer.size() });
            taken += buffer.size();
        }
        return taken;
    }
    void finish(error_code& error) { error = {}; }

private:
    BodySample& m_sample;
};

// The sample as a body type of Beast.
struct SampledBody {
    using value_type = BodySample;
    using reader = BodySampler;
};

using Request = Http::request<SampledBody>;
using Response = Http::response<Http::string_body>;

// One request and the ways to end it. Exactly one of them is to be called; a dropped exchange closes its connection.
class Exchange {
public:
    virtual ~Exchange() = default;
    virtual const Request& request() const = 0;
    virtual void respond(unsigned status, std::string body, std::string_view header = {}, std::string_view value = {})
        = 0;
    // Sends the head and half of the body, then closes in order.
    virtual void cutShort(std::string body) = 0;
    // Sends the head and half of the body, then resets.
    virtual void resetInTheMiddle(std::string body) = 0;
    virtual void close() = 0;
};
using ExchangePointer = std::shared_ptr<Exchange>;
using Handler = std::function<void(ExchangePointer)>;

class Session final : public Exchange, public std::enable_shared_from_this<Session> {
public:
    Session(tcp::socket socket, Handler handler)
        : m_stream(std::move(socket))
        , m_handler(std::move(handler))
    {
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(boost::none);
        Http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](error_code error, size_t) {
            if (!error) {
                self->m_request = self->m_parser->release();
                self->m_handler(self);
            }
        });
    }

    const Request& request() const override { return m_request; }

    void respond(unsigned status, std::string body, std::string_view header, std::string_view value) override
    {
        prepare(status, std::move(body));
        if (!header.empty())
            m_response.set(
                Beast::string_view(header.data(), header.size()), Beast::string_view(value.data(), value.size()));
        m_response.keep_alive(m_request.keep_alive());
        Asio::dispatch(m_stream.get_executor(), [self = shared_from_this()] {
            Http::async_write(self->m_stream, self->m_response, [self](error_code error, size_t) {
                if (!error && self->m_response.keep_alive())
                    self->read();
            });
        });
    }

    void cutShort(std::string body) override { breakOff(std::move(body), false); }
    void resetInTheMiddle(std::string body) override { breakOff(std::move(body), true); }

    void close() override
    {
        Asio::dispatch(m_stream.get_executor(), [self = shared_from_this()] { self->m_stream.close(); });
    }

private:
    void prepare(unsigned status, std::string body)
    {
        m_response = {};
        m_response.version(11);
        m_response.result(status);
        m_response.body() = std::move(body);
        m_response.prepare_payload();
    }

    void breakOff(std::string body, bool reset)
    {
        const auto length = body.size();
        prepare(200, body.substr(0, length / 2));
        m_response.content_length(length);
        Asio::dispatch(m_stream.get_executor(), [self = shared_from_this(), reset] {
            Http::async_write(self->m_stream, self->m_response, [self, reset](error_code, size_t) {
                error_code ignored;
                if (reset)
                    self->m_stream.socket().set_option(Asio::socket_base::linger(true, 0), ignored);
                self->m_stream.socket().close(ignored);
            });
        });
    }

    Beast::tcp_stream m_stream;
    Handler m_handler;
    Beast::flat_buffer m_buffer;
    std::optional<Http::request_parser<SampledBody>> m_parser;
    Request m_request;
    Response m_response;
};

// Accepts connections until closed.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
public:
    HttpServer(Asio::io_context& context, const tcp::endpoint& endpoint, Handler handler)
        : m_context(context)
        , m_acceptor(context, endpoint)
        , m_handler(std::move(handler))
    {
    }

    uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    void accept()
    {
        m_acceptor.async_accept(
            Asio::make_strand(m_context), [self = shared_from_this()](error_code error, tcp::socket socket) {
                if (error)
                    return;
                error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                std::make_shared<Session>(std::move(socket), self->m_handler)->read();
                self->accept();
            });
    }

    void close()
    {
        Asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
            error_code ignored;
            self->m_acceptor.close(ignored);
        });
    }

private:
    Asio::io_context& m_context;
    tcp::acceptor m_acceptor;
    Handler m_handler;
};

// Reads "address:port".
inline tcp::endpoint endpointFromText(const std::string& text)
{
    const auto colon = text.rfind(':');
    return { Asio::ip::make_address(text.substr(0, colon)), static_cast<uint16_t>(std::stoul(text.substr(colon + 1))) };
}

} // namespace StandIns

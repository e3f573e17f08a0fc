#include "httpcall/HttpCall.h"

#include "address/Address.h"
#include "framing/Framing.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Vanillaridge {

namespace {

    namespace Asio = boost::asio;
    namespace Beast = boost::beast;
    namespace Http = boost::beast::http;
    using boost::system::error_code;

    // Bytes of an answer's body: a page of a list holds about a megabyte.
    constexpr uint64_t answerLimit = 64 << 20;

    constexpr std::array<Http::verb, 4> verbs { Http::verb::get, Http::verb::post, Http::verb::put,
        Http::verb::delete_ };

    class Call : public std::enable_shared_from_this<Call> {
    public:
        Call(Asio::io_context& context, HttpQuestion question, Duration timeout, HttpCallback done)
            : m_stream(Asio::make_strand(context))
            , m_question(std::move(question))
            , m_timeout(timeout)
            , m_done(std::move(done))
        {
            expectAnswer();
        }

        // 1. Connection. Until it stands, nothing has been sent.
        void start(const Endpoint& endpoint)
        {
            const auto address = tcpEndpoint(endpoint);
            if (!address) {
                Asio::post(
                    m_stream.get_executor(), [self = shared_from_this()] { self->fail(HttpCallError::NotSent); });
                return;
            }
            composeRequest(endpoint);
            m_stream.expires_after(m_timeout);
            m_stream.async_connect(*address, [self = shared_from_this()](error_code error) {
                error ? self->fail(HttpCallError::NotSent) : self->send();
            });
        }

    private:
        void composeRequest(const Endpoint& host)
        {
            m_request.version(11);
            m_request.method(verbs[static_cast<size_t>(m_question.method)]);
            m_request.target(m_question.target);
            m_request.set(Http::field::host, host);
            m_request.set(Http::field::connection, "close");
            if (!m_question.body.empty())
                m_request.set(Http::field::content_type, m_question.contentType);
            m_request.body() = std::move(m_question.body);
            m_request.prepare_payload();
        }

        // 2. Request. From here on a change may take effect.
        void send()
        {
            m_stream.expires_after(m_timeout + m_question.patience);
            Http::async_write(m_stream, m_request, [self = shared_from_this()](error_code error, size_t) {
                error ? self->fail(HttpCallError::NoAnswer) : self->receive();
            });
        }

        void expectAnswer()
        {
            m_parser.emplace();
            m_parser->body_limit(answerLimit);
        }

        // 3. Head of the answer. The time limit also ends a server that sends interim answers without end.
        void receive()
        {
            Http::async_read_header(
                m_stream, m_buffer, *m_parser, [self = shared_from_this()](error_code error, size_t) {
                    error ? self->fail(HttpCallError::NoAnswer) : self->takeHead(responseKindOf(self->m_parser->get()));
                });
        }

        void takeHead(ResponseKind kind)
        {
            if (kind == ResponseKind::Malformed) {
                fail(HttpCallError::NoAnswer);
            } else if (kind == ResponseKind::Interim) {
                expectAnswer();
                receive();
            } else {
                receiveBody();
            }
        }

        // 4. Body.
        void receiveBody()
        {
            Http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](error_code error, size_t) {
                error ? self->fail(HttpCallError::NoAnswer) : self->succeed();
            });
        }

        void succeed()
        {
            auto& message = m_parser->get();
            HttpAnswer answer { message.result_int(), std::move(message.body()) };
            if (!m_question.wantedHeader.empty())
                answer.wantedHeader = message[m_question.wantedHeader];
            finish({ std::move(answer) });
        }

        void fail(HttpCallError error) { finish({ std::nullopt, error }); }

        void finish(HttpCallResult result)
        {
            error_code ignored;
            m_stream.socket().close(ignored);
            std::exchange(m_done, nullptr)(std::move(result));
        }

        Beast::tcp_stream m_stream;
        HttpQuestion m_question;
        const Duration m_timeout;
        HttpCallback m_done;
        Http::request<Http::string_body> m_request;
        Beast::flat_buffer m_buffer;
        std::optional<Http::response_parser<Http::string_body>> m_parser;
    };

} // namespace

void callHttp(
    Asio::io_context& context, const Endpoint& endpoint, HttpQuestion question, Duration timeout, HttpCallback done)
{
    std::make_shared<Call>(context, std::move(question), timeout, std::move(done))->start(endpoint);
}

} // namespace Vanillaridge

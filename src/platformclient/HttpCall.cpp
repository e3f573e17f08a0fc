#include "platformclient/HttpCall.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

namespace Vanillaridge {

namespace {

    namespace Asio = boost::asio;
    namespace Beast = boost::beast;
    namespace Http = boost::beast::http;
    using boost::system::error_code;

    constexpr uint64_t answerLimit = 64 << 20;
    constexpr std::string_view versionHeader = "Object-Version";

    constexpr std::array<Http::verb, 3> verbs { Http::verb::get, Http::verb::put, Http::verb::delete_ };

    class Call : public std::enable_shared_from_this<Call> {
    public:
        Call(Asio::io_context& context, HttpQuestion question, Duration timeout, HttpCallback done)
            : m_resolver(Asio::make_strand(context))
            , m_stream(m_resolver.get_executor())
            , m_question(std::move(question))
            , m_timeout(timeout)
            , m_done(std::move(done))
        {
            m_parser.body_limit(answerLimit);
        }

        // 1. Address.
        void start(const HttpServerName& server)
        {
            composeRequest(server.host + ':' + server.port);
            m_stream.expires_after(m_timeout);
            m_resolver.async_resolve(server.host, server.port,
                [self = shared_from_this()](error_code error, const Asio::ip::tcp::resolver::results_type& found) {
                    error ? self->finish(PlatformError::Unreachable) : self->connect(found);
                });
        }

    private:
        void composeRequest(const std::string& host)
        {
            m_request.version(11);
            m_request.method(verbs[static_cast<size_t>(m_question.method)]);
            m_request.target(m_question.target);
            m_request.set(Http::field::host, host);
            m_request.set(Http::field::connection, "close");
            if (m_question.isChange()) {
                if (m_question.expectedVersion == absentVersion)
                    m_request.set(Http::field::if_none_match, "*");
                else
                    m_request.set(Http::field::if_match, '"' + std::to_string(m_question.expectedVersion) + '"');
            }
            m_request.body() = std::move(m_question.body);
            m_request.prepare_payload();
        }

        // 2. Connection. Until it stands, nothing has been sent.
        void connect(const Asio::ip::tcp::resolver::results_type& found)
        {
            m_stream.async_connect(
                found, [self = shared_from_this()](error_code error, const Asio::ip::tcp::endpoint&) {
                    error ? self->finish(PlatformError::Unreachable) : self->send();
                });
        }

        // 3. Request. From here on a change may take effect.
        void send()
        {
            m_stream.expires_after(m_timeout + m_question.patience);
            Http::async_write(m_stream, m_request, [self = shared_from_this()](error_code error, size_t) {
                error ? self->finish(self->lost()) : self->receive();
            });
        }

        // 4. Answer.
        void receive()
        {
            Http::async_read(m_stream, m_buffer, m_parser, [self = shared_from_this()](error_code error, size_t) {
                error ? self->finish(self->lost()) : self->finish(self->readAnswer());
            });
        }

        HttpAnswer readAnswer()
        {
            auto& message = m_parser.get();
            const auto version = message[Beast::string_view(versionHeader.data(), versionHeader.size())];
            HttpAnswer answer { message.result_int(), 0, std::move(message.body()) };
            std::from_chars(version.data(), version.data() + version.size(), answer.version);
            return answer;
        }

        PlatformError lost() const
        {
            return m_question.isChange() ? PlatformError::AnswerLost : PlatformError::Unreachable;
        }

        void finish(PlatformResult<HttpAnswer> result)
        {
            error_code ignored;
            m_stream.socket().close(ignored);
            std::exchange(m_done, nullptr)(std::move(result));
        }

        Asio::ip::tcp::resolver m_resolver;
        Beast::tcp_stream m_stream;
        HttpQuestion m_question;
        const Duration m_timeout;
        HttpCallback m_done;
        Http::request<Http::string_body> m_request;
        Beast::flat_buffer m_buffer;
        Http::response_parser<Http::string_body> m_parser;
    };

} // namespace

void exchange(
    Asio::io_context& context, const HttpServerName& server, HttpQuestion question, Duration timeout, HttpCallback done)
{
    std::make_shared<Call>(context, std::move(question), timeout, std::move(done))->start(server);
}

} // namespace Vanillaridge

// One HTTP call on a connection of its own, for stand-ins.
#pragma once

#include "HttpServer.h"

namespace StandIns {

struct ClientAnswer {
    // 0 when no whole answer came.
    unsigned status { 0 };
    std::string body;
};

class ClientCall : public std::enable_shared_from_this<ClientCall> {
public:
    using Done = std::function<void(ClientAnswer)>;

    ClientCall(Asio::io_context& context, Http::request<Http::string_body> request, Done done)
        : m_stream(Asio::make_strand(context))
        , m_request(std::move(request))
        , m_done(std::move(done))
    {
        m_request.version(11);
        m_request.set(Http::field::host, "stand-in");
        m_request.set(Http::field::connection, "close");
        m_request.prepare_payload();
        m_parser.body_limit(64 << 20);
    }

    void start(const tcp::endpoint& endpoint, std::chrono::milliseconds patience)
    {
        m_stream.expires_after(patience);
        m_stream.async_connect(endpoint, [self = shared_from_this()](error_code error) {
            if (error)
                return self->m_done({});
            Http::async_write(self->m_stream, self->m_request, [self](error_code failed, size_t) {
                if (failed)
                    return self->m_done({});
                Http::async_read(self->m_stream, self->m_buffer, self->m_parser, [self](error_code broken, size_t) {
                    if (broken)
                        return self->m_done({});
                    auto& answer = self->m_parser.get();
                    self->m_done({ answer.result_int(), std::move(answer.body()) });
                });
            });
        });
    }

private:
    Beast::tcp_stream m_stream;
    Http::request<Http::string_body> m_request;
    Done m_done;
    Beast::flat_buffer m_buffer;
    Http::response_parser<Http::string_body> m_parser;
};

} // namespace StandIns

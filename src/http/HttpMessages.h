/// Translations between the library's types and Beast's, and body reading that both sides of HTTP share.
#pragma once

#include "address/Address.h"
#include "framing/Framing.h"
#include "http/Http.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Vanillaridge {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::redirect_error;
using Tcp = boost::asio::ip::tcp;
using TcpSocket = boost::asio::basic_stream_socket<Tcp, Strand>;
using ErrorCode = boost::system::error_code;

/// Whether a header belongs to one connection and is never passed on.
bool isHopByHop(std::string_view name);

/// Headers that are passed on: all but those of the connection and of the body's framing.
std::vector<HeaderField> endToEndHeaders(const http::fields&);

/// Sets headers, and the framing of the body: a length, chunks, or none.
template <typename Message>
void setHeaders(
    Message& message, std::span<const HeaderField> headers, bool hasBody, std::optional<uint64_t> contentLength)
{
    for (const auto& field : headers) {
        if (!isHopByHop(field.name))
            message.insert(field.name, field.value);
    }
    if (contentLength)
        message.content_length(*contentLength);
    else if (hasBody)
        message.chunked(true);
}

/// What a socket has for its reader, as far as the machine knows by now.
enum class SocketState : uint8_t { Quiet, Readable, Ended };
SocketState peekAt(TcpSocket&);

/// Gives the parser what has come already. False when it needs more bytes to go on; errors are its own.
template <typename Parser> bool parseBuffered(beast::flat_buffer& buffer, Parser& parser, ErrorCode& error)
{
    error = {};
    if (!buffer.size())
        return false;
    buffer.consume(parser.put(buffer.data(), error));
    if (error != http::error::need_more)
        return true;
    error = {};
    return false;
}

/// Reads a head, and what comes with it; the reason if there is none to be had.
template <typename Parser> Task<ErrorCode> readHeader(TcpSocket& socket, beast::flat_buffer& buffer, Parser& parser)
{
    ErrorCode error;
    while (!parser.is_header_done()) {
        // 1. What has come may be all of it.
        if (parseBuffered(buffer, parser, error)) {
            if (error)
                co_return error;
            continue;
        }

        // 2. More. The buffer has room for any head within the limit.
        const auto room = std::min(bodyPieceBytes, buffer.max_size() - buffer.size());
        if (!room)
            co_return ErrorCode(http::error::buffer_overflow);
        const auto read = co_await socket.async_read_some(buffer.prepare(room), redirect_error(useAwaitable, error));
        buffer.commit(read);
        if (error)
            co_return error == boost::asio::error::eof ? ErrorCode(http::error::end_of_stream) : error;
    }
    co_return ErrorCode();
}

/// Reads the next piece of a body through a parser that was made with buffer_body.
template <typename Parser> Task<BodyPiece> readPiece(TcpSocket& socket, beast::flat_buffer& buffer, Parser& parser)
{
    BodyPiece piece;
    if (parser.is_done()) {
        piece.end = BodyEnd::Last;
        co_return piece;
    }
    // The buffer behind the socket holds what has come; a body that is known to be short needs no more room.
    const auto left = parser.content_length_remaining();
    piece.bytes.resize(left ? std::min<uint64_t>(*left, bodyPieceBytes) : bodyPieceBytes);
    auto& body = parser.get().body();
    while (true) {
        // 1. Into what is left of the piece: from what has come, or else from the socket.
        body.data = piece.bytes.data();
        body.size = piece.bytes.size();
        ErrorCode error;
        if (!parseBuffered(buffer, parser, error))
            co_await http::async_read_some(socket, buffer, parser, redirect_error(useAwaitable, error));
        if (error == http::error::need_buffer)
            error = {};
        const size_t read = piece.bytes.size() - body.size;

        // 2. Tell a cut body from one that goes on or ends.
        if (error) {
            piece.bytes.resize(read);
            piece.end = BodyEnd::Cut;
            co_return piece;
        }
        if (read || parser.is_done()) {
            piece.bytes.resize(read);
            piece.end = parser.is_done() ? BodyEnd::Last : BodyEnd::More;
            co_return piece;
        }
    }
}

/// Makes a piece of a body the next to be written of a buffer_body message.
template <typename Message> void putPiece(Message& message, std::string_view bytes, bool last)
{
    auto& body = message.body();
    body.data = bytes.empty() ? nullptr : const_cast<char*>(bytes.data());
    body.size = bytes.size();
    body.more = !last;
}

} // namespace Vanillaridge

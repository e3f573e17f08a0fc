/// Translations between the library's types and Beast's, and body reading that both sides of HTTP share.
#pragma once

#include "address/Address.h"
#include "http/Http.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace Vanillaridge {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using Tcp = boost::asio::ip::tcp;
using TcpStream = beast::basic_stream<Tcp, Strand>;
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

/// Reads the next piece of a body through a parser that was made with buffer_body.
template <typename Parser>
Task<BodyPiece> readPiece(TcpStream& stream, beast::flat_buffer& buffer, Parser& parser, Duration patience)
{
    BodyPiece piece;
    if (parser.is_done()) {
        piece.end = BodyEnd::Last;
        co_return piece;
    }
    // The buffer behind the stream holds what has come; a body that is known to be short needs no more room.
    const auto left = parser.content_length_remaining();
    piece.bytes.resize(left ? std::min<uint64_t>(*left, bodyPieceBytes) : bodyPieceBytes);
    auto& body = parser.get().body();
    while (true) {
        // 1. Read into what is left of the piece.
        body.data = piece.bytes.data();
        body.size = piece.bytes.size();
        stream.expires_after(patience);
        ErrorCode error;
        co_await http::async_read_some(stream, buffer, parser, redirect_error(use_awaitable, error));
        if (error == http::error::need_buffer)
            error = {};
        const size_t read = piece.bytes.size() - body.size;

        // 2. Tell a cut or silent body from one that goes on or ends.
        if (error) {
            piece.bytes.resize(read);
            piece.end = error == beast::error::timeout ? BodyEnd::TooSlow : BodyEnd::Cut;
            co_return piece;
        }
        if (read || parser.is_done()) {
            piece.bytes.resize(read);
            piece.end = parser.is_done() ? BodyEnd::Last : BodyEnd::More;
            co_return piece;
        }
    }
}

/// Writes the next piece of a body through a serializer of a buffer_body message.
template <typename Message, typename Serializer>
Task<bool> writePiece(
    TcpStream& stream, Message& message, Serializer& serializer, std::string_view bytes, bool last, Duration patience)
{
    auto& body = message.body();
    body.data = bytes.empty() ? nullptr : const_cast<char*>(bytes.data());
    body.size = bytes.size();
    body.more = !last;
    stream.expires_after(patience);
    ErrorCode error;
    co_await http::async_write(stream, serializer, redirect_error(use_awaitable, error));
    co_return !error || error == http::error::need_buffer;
}

} // namespace Vanillaridge

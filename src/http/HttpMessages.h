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

/// Most bytes of a head that are read at once. Nearly all heads are shorter, and many connections wait for one.
constexpr size_t headPieceBytes = 2 * 1024;

/// Reads what has come into the buffer; end_of_stream at the end of the connection.
Task<ErrorCode> readMore(TcpSocket&, beast::flat_buffer&, size_t most = bodyPieceBytes);

/// Reads a head, and what comes with it; the reason if there is none to be had.
/// \param mayGrow asked before each reading; where it says no, the error is that there is not enough memory
template <typename Parser, typename MayGrow>
Task<ErrorCode> readHeader(TcpSocket& socket, beast::flat_buffer& buffer, Parser& parser, MayGrow mayGrow)
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
        if (!mayGrow())
            co_return make_error_code(boost::system::errc::not_enough_memory);
        error = co_await readMore(socket, buffer, headPieceBytes);
        if (error)
            co_return error;
    }
    co_return ErrorCode();
}

template <typename Parser> Task<ErrorCode> readHeader(TcpSocket& socket, beast::flat_buffer& buffer, Parser& parser)
{
    co_return co_await readHeader(socket, buffer, parser, [] { return true; });
}

/// Whether the parser failed for bytes that are no body, rather than for the end of the connection.
bool isMalformed(ErrorCode);

/// Gives the parser the bytes of a body that come next, of which some may have come already.
template <typename Parser> Task<ErrorCode> parseBody(TcpSocket& socket, beast::flat_buffer& buffer, Parser& parser)
{
    ErrorCode error;
    while (!parseBuffered(buffer, parser, error)) {
        // The parser waits without end for the quote that closes an extension, and for a line end that came incomplete.
        const std::string_view left(static_cast<const char*>(buffer.data().data()), buffer.size());
        if (parser.chunked() && isMalformedChunkHeader(left))
            co_return ErrorCode(http::error::bad_chunk);
        error = co_await readMore(socket, buffer);
        if (error == http::error::end_of_stream) {
            error = {};
            parser.put_eof(error);
            co_return error;
        }
        if (error)
            co_return error;
    }
    co_return error;
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
    size_t read = 0;
    ErrorCode error;
    while (!parser.is_done() && read < piece.bytes.size()) {
        // 1. Into what is left of the piece. Only an empty one is waited for; small chunks that have come are joined.
        body.data = piece.bytes.data() + read;
        body.size = piece.bytes.size() - read;
        const bool goesOn = !read || parseBuffered(buffer, parser, error);
        if (!read)
            error = co_await parseBody(socket, buffer, parser);
        if (error == http::error::need_buffer)
            error = {};
        read = piece.bytes.size() - body.size;
        if (error || !goesOn)
            break;
    }

    // 2. Tell a malformed or cut body from one that goes on or ends.
    piece.bytes.resize(read);
    if (error)
        piece.end = isMalformed(error) ? BodyEnd::Malformed : BodyEnd::Cut;
    else
        piece.end = parser.is_done() ? BodyEnd::Last : BodyEnd::More;
    // A piece may wait among many others; it must not take up much more than its bytes.
    if (piece.bytes.capacity() > 2 * read)
        piece.bytes.shrink_to_fit();
    co_return piece;
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

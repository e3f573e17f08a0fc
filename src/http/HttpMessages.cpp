#include "http/HttpMessages.h"

#include <algorithm>
#include <cctype>

namespace Vanillaridge {

namespace {

    // Headers that belong to one connection, or that are set anew for each one.
    constexpr std::array<std::string_view, 10> hopByHopHeaders { "connection", "keep-alive", "proxy-connection",
        "proxy-authenticate", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect" };

} // namespace

bool sameHeader(std::string_view left, std::string_view right) { return beast::iequals(left, right); }

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
        [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return lower;
}

std::string_view headerIn(std::span<const HeaderField> headers, std::string_view name)
{
    const auto found
        = std::find_if(headers.begin(), headers.end(), [&](const auto& field) { return sameHeader(field.name, name); });
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

std::string_view RequestHead::path() const { return std::string_view(target).substr(0, target.find('?')); }

bool isHopByHop(std::string_view name)
{
    return std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(),
        [&](std::string_view hopByHop) { return sameHeader(hopByHop, name); });
}

SocketState peekAt(TcpSocket& socket)
{
    char byte;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0 || (count < 0 && errno == EINTR))
        return SocketState::Readable;
    const bool isQuiet = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return isQuiet ? SocketState::Quiet : SocketState::Ended;
}

Task<ErrorCode> readMore(TcpSocket& socket, beast::flat_buffer& buffer, size_t most)
{
    const auto room = std::min(most, buffer.max_size() - buffer.size());
    if (!room)
        co_return ErrorCode(http::error::buffer_overflow);
    ErrorCode error;
    const auto read = co_await socket.async_read_some(buffer.prepare(room), redirect_error(useAwaitable, error));
    buffer.commit(read);
    co_return error == boost::asio::error::eof ? ErrorCode(http::error::end_of_stream) : error;
}

bool isMalformed(ErrorCode error)
{
    return error.category() == http::make_error_code(http::error::bad_chunk).category()
        && error != http::error::partial_message && error != http::error::end_of_stream;
}

// Headers that the Connection header names belong to the connection as well.
std::vector<HeaderField> endToEndHeaders(const http::fields& fields)
{
    http::token_list named(fields[http::field::connection]);
    std::vector<HeaderField> headers;
    for (const auto& field : fields) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (isHopByHop(name) || named.exists(field.name_string()))
            continue;
        headers.push_back({ std::string(name), std::string(field.value()) });
    }
    return headers;
}

} // namespace Vanillaridge

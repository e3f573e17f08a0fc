/// Addresses of sockets, and the opening of acceptors, alike for HTTP and for connections between nodes.
#pragma once

#include "core/Core.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/socket_base.hpp>

namespace Vanillaridge {

/// Reads "address:port" or "[address]:port" by number; nothing when the text is no endpoint.
std::optional<boost::asio::ip::tcp::endpoint> tcpEndpoint(std::string_view);

/// Opens, binds and listens without blocking; the first error that it meets.
template <typename Acceptor>
boost::system::error_code openAcceptor(Acceptor& acceptor, const boost::asio::ip::tcp::endpoint& address)
{
    boost::system::error_code error;
    acceptor.open(address.protocol(), error);
    if (!error)
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(address, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (!error)
        acceptor.non_blocking(true, error);
    return error;
}

/// Whether an error of accept(2) concerns only the connection that it would have returned, such as a network error that
/// was already pending on it. The next one can be accepted at once.
bool concernsOneConnection(const boost::system::error_code&);

/// Connections accepted before other work gets its turn.
constexpr int acceptsPerRound = 64;

/// Runs `take(Socket)` on the connections that wait to be accepted already, since each round of the event loop can be
/// long, and the queue is bounded. The acceptor does not block; the error that ended it, if any.
/// \param makeSocket makes the socket that the next connection is accepted into
template <typename Acceptor, typename MakeSocket, typename Take>
boost::system::error_code acceptWaiting(Acceptor& acceptor, MakeSocket&& makeSocket, Take&& take)
{
    for (int i = 0; i < acceptsPerRound; ++i) {
        auto socket = makeSocket();
        boost::system::error_code error;
        acceptor.accept(socket, error);
        if (error)
            return error == boost::asio::error::would_block ? boost::system::error_code() : error;
        take(std::move(socket));
    }
    return {};
}

} // namespace Vanillaridge

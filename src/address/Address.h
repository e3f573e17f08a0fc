/// Addresses of sockets, and the opening of acceptors, alike for HTTP and for connections between nodes.
#pragma once

#include "core/Core.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/socket_base.hpp>

namespace Vanillaridge {

/// Reads "address:port" or "[address]:port" by number; nothing when the text is no endpoint.
std::optional<boost::asio::ip::tcp::endpoint> tcpEndpoint(std::string_view);

/// Opens, binds and listens; the first error that it meets.
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
    return error;
}

} // namespace Vanillaridge

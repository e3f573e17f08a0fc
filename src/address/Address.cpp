#include "address/Address.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace Vanillaridge {

std::optional<boost::asio::ip::tcp::endpoint> tcpEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(host, error);
    uint16_t port = 0;
    const auto [stop, badPort] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    if (error || badPort != std::errc() || stop != text.data() + text.size())
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(address, port);
}

bool concernsOneConnection(const boost::system::error_code& error)
{
    using boost::system::errc::errc_t;
    constexpr std::array<errc_t, 10> errors { errc_t::connection_aborted, errc_t::connection_reset, errc_t::interrupted,
        errc_t::network_down, errc_t::network_unreachable, errc_t::host_unreachable, errc_t::protocol_error,
        errc_t::no_protocol_option, errc_t::operation_not_supported, errc_t::timed_out };
    return std::any_of(errors.begin(), errors.end(), [&](errc_t one) { return error == one; });
}

} // namespace Vanillaridge

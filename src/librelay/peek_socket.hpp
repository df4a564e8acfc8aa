#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace monsoondock::relay::pvt {

/// What can be read from a connection.
enum class socket_content
{
    nothing,
    bytes,
    /// The peer closed the connection, or the connection failed.
    end
};


/// Checks a connection for data without consuming it and without blocking.
socket_content peek_socket(boost::asio::ip::tcp::socket& socket);

} // namespace monsoondock::relay::pvt

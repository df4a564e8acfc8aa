#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace monsoondock::relay::pvt {

/// What waits to be read from a connection.
enum class socket_content
{
    nothing,
    bytes,
    /// The other end closed the connection, or it broke.
    end
};


/// Looks at a connection without reading from it or waiting.
socket_content peek_socket(boost::asio::ip::tcp::socket& socket);

} // namespace monsoondock::relay::pvt

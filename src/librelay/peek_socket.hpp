#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <string>

namespace monsoondock::relay::pvt {

/// What can be read from a connection.
enum class socket_content
{
    nothing,
    bytes,
    /// The peer closed the connection, or the connection failed.
    end
};


/// Checks a connection for data without consuming it and without blocking. If
/// the connection has ended, tells how; the kernel reports a failure only once,
/// so that a later read ends as after an orderly close.
socket_content peek_socket(
    boost::asio::ip::tcp::socket& socket, boost::system::error_code& failure);


/// Maximum number of bytes that peek_text returns.
inline constexpr std::size_t max_peeked_bytes = 4096;


/// Returns what can be read from the socket, up to max_peeked_bytes, without
/// reading it; see peek_socket.
std::string peek_text(
    boost::asio::ip::tcp::socket& socket, boost::system::error_code& failure);

} // namespace monsoondock::relay::pvt

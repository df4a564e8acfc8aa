#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace monsoondock::peer::pvt {

/// Reads one frame and returns its sealed envelope. Returns nothing if the
/// connection ends or fails first, or the envelope is longer than limit.
boost::asio::awaitable<std::optional<std::string>>
read_frame(boost::asio::ip::tcp::socket& socket, std::size_t limit);


/// Writes one sealed envelope as a frame. Returns false if the connection
/// fails.
boost::asio::awaitable<bool>
write_frame(boost::asio::ip::tcp::socket& socket, std::string sealed);

} // namespace monsoondock::peer::pvt

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace monsoondock::peer::pvt {

/// Reads one sealed envelope. Returns nothing when the connection ends or
/// fails first, or the frame is longer than limit.
boost::asio::awaitable<std::optional<std::string>>
read_frame(boost::asio::ip::tcp::socket& socket, std::size_t limit);


/// Writes one sealed envelope. Returns false when the connection fails.
boost::asio::awaitable<bool>
write_frame(boost::asio::ip::tcp::socket& socket, std::string sealed);

} // namespace monsoondock::peer::pvt

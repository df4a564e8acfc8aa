#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace monsoondock::relay::pvt {

/// Sends small writes at once and ends a connection whose peer has gone
/// silent within a few seconds, even when nothing is being sent.
void set_connection_options(boost::asio::ip::tcp::socket& socket);

} // namespace monsoondock::relay::pvt

#pragma once

#include "traffic_thread.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace monsoondock::traffic::pvt {

/// Serves the requests of one caller connection until it is closed. A malformed
/// or oversized request is refused and the connection closed, because the start
/// of the next request can't be found.
boost::asio::awaitable<void>
run_session(traffic_thread& thread, boost::asio::ip::tcp::socket socket);

} // namespace monsoondock::traffic::pvt

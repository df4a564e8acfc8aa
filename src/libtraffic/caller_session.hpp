#pragma once

#include "traffic_thread.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace monsoondock::traffic::pvt {

/// Serves the requests of one caller connection until it ends. Bad input is
/// refused, and the connection is closed where the next request could not be
/// told from the rest of the bad one.
boost::asio::awaitable<void>
run_session(traffic_thread& thread, boost::asio::ip::tcp::socket socket);

} // namespace monsoondock::traffic::pvt

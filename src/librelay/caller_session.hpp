#pragma once

#include "front_thread.hpp"

#include <boost/asio/awaitable.hpp>

namespace monsoondock::relay::pvt {

/// Serves the requests of one caller's connection until it ends.
boost::asio::awaitable<void>
run_session(front_thread& t, boost::asio::ip::tcp::socket socket);

} // namespace monsoondock::relay::pvt

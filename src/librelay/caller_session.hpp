#pragma once

#include "proxy_thread.hpp"

#include <boost/asio/awaitable.hpp>

namespace monsoondock::relay::pvt {

/// Serves requests on the connection of a caller, or of a daemon that passes
/// requests of its callers on, until the connection ends.
boost::asio::awaitable<void> run_session(
    proxy_thread& t, boost::asio::ip::tcp::socket socket, bool from_daemon);

} // namespace monsoondock::relay::pvt

#pragma once

#include "caller_connection.hpp"
#include "reply.hpp"
#include "request_context.hpp"
#include "traffic_thread.hpp"

#include <boost/asio/awaitable.hpp>

namespace monsoondock::traffic::pvt {

/// Authenticates a request, checks its headers and rate limit, and routes it by
/// path to its handler.
boost::asio::awaitable<reply> serve_request(
    traffic_thread& thread,
    caller_connection& caller,
    request_context& context);

} // namespace monsoondock::traffic::pvt

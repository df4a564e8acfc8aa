#pragma once

#include "caller_connection.hpp"
#include "reply.hpp"
#include "request_context.hpp"
#include "traffic_thread.hpp"

#include <boost/asio/awaitable.hpp>

namespace monsoondock::traffic::pvt {

/// Serves a completion request. A failed attempt is retried on another group,
/// and an interrupted stream is resumed there, so that the caller gets either a
/// complete response or an explicit error.
boost::asio::awaitable<reply> serve_chat(
    traffic_thread& thread,
    caller_connection& caller,
    request_context& context);

} // namespace monsoondock::traffic::pvt

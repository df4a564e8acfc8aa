#pragma once

#include "caller_connection.hpp"
#include "reply.hpp"
#include "request_context.hpp"
#include "traffic_thread.hpp"

#include <boost/asio/awaitable.hpp>

namespace monsoondock::traffic::pvt {

/// Serves a completion request through a whole group. A failed attempt is
/// repeated on another group, and a broken stream is resumed there, so the
/// caller sees one whole answer or a clear failure.
boost::asio::awaitable<reply> serve_chat(
    traffic_thread& thread,
    caller_connection& caller,
    request_context& context);

} // namespace monsoondock::traffic::pvt

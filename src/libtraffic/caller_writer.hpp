#pragma once

#include "caller_connection.hpp"
#include "request_context.hpp"

#include <monsoondock/traffic/limits.hpp>

#include <boost/asio/awaitable.hpp>

#include <string_view>

namespace monsoondock::traffic::pvt {

/// Writes the head of an event stream. Returns false when the caller is gone.
boost::asio::awaitable<bool> write_stream_head(
    caller_connection& caller,
    const request_context& context,
    const limits& bounds);


/// Writes events as one chunk. Returns false when the caller is gone.
boost::asio::awaitable<bool> write_chunk(
    caller_connection& caller, std::string_view events, const limits& bounds);


/// Writes the end of a chunked body. Returns false when the caller is gone.
boost::asio::awaitable<bool>
write_last_chunk(caller_connection& caller, const limits& bounds);

} // namespace monsoondock::traffic::pvt

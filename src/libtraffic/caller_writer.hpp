#pragma once

#include "caller_connection.hpp"
#include "request_context.hpp"

#include <monsoondock/traffic/limits.hpp>

#include <boost/asio/awaitable.hpp>

#include <string_view>

namespace monsoondock::traffic::pvt {

/// Writes the response head of an event stream. Returns false when the write
/// fails.
boost::asio::awaitable<bool> write_stream_head(
    caller_connection& caller,
    const request_context& context,
    const limits& bounds);


/// Writes events, as one HTTP chunk if the caller knows chunks. Returns false
/// when the write fails.
boost::asio::awaitable<bool> write_chunk(
    caller_connection& caller, std::string_view events, const limits& bounds);


/// Writes the last chunk of a body that is complete, or lets the connection end
/// in order if that is the end of the body. Returns false when the write fails.
boost::asio::awaitable<bool>
write_last_chunk(caller_connection& caller, const limits& bounds);

} // namespace monsoondock::traffic::pvt

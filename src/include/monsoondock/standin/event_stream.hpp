#pragma once

#include <monsoondock/standin/exchange.hpp>

namespace monsoondock::standin {

/// Starts a response of server-sent events with chunked transfer encoding. This
/// and the functions below return false when the write failed, for instance
/// because the caller disconnected.
boost::asio::awaitable<bool> begin_events(exchange& e);


/// Sends one event with text as its data field.
boost::asio::awaitable<bool> send_event(exchange& e, std::string_view text);


/// Ends the response, so that the connection can be reused.
boost::asio::awaitable<bool> end_events(exchange& e);

} // namespace monsoondock::standin

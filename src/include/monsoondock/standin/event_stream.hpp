#pragma once

#include <monsoondock/standin/exchange.hpp>

namespace monsoondock::standin {

/// Begins an answer of server-sent events in HTTP chunks. Returns false when
/// the caller has gone.
boost::asio::awaitable<bool> begin_events(exchange& e);


/// Sends one event whose data is text.
boost::asio::awaitable<bool> send_event(exchange& e, std::string_view text);


/// Ends the answer, so that the connection can carry a further request.
boost::asio::awaitable<bool> end_events(exchange& e);

} // namespace monsoondock::standin

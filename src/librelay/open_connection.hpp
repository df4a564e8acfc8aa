#pragma once

#include "receive_response.hpp"

namespace monsoondock::relay::pvt {

/// Opens a new connection to the target of a try and makes it the connection of
/// the exchange. Returns why that failed; `operation_aborted` when it isn't
/// accepted in time, or the exchange is stopped meanwhile.
boost::asio::awaitable<boost::system::error_code>
open_connection(try_context& c);

} // namespace monsoondock::relay::pvt

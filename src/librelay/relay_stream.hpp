#pragma once

#include "receive_response.hpp"

namespace monsoondock::relay::pvt {

/// Relays a stream, whose header has been received, to the caller as it
/// arrives.
boost::asio::awaitable<try_outcome>
relay_stream(try_context& c, http_response_parser& parser);

} // namespace monsoondock::relay::pvt

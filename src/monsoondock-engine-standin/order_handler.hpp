#pragma once

#include "engine_host.hpp"

namespace monsoondock::engine_standin {

/// Handles POST /v1/orders. Unless ignore_generation is set, an order whose
/// generation is lower than that of the host is rejected. A repeated load
/// order changes nothing.
boost::asio::awaitable<void> handle_order(engine_host& h, standin::exchange& e);


/// Replies with status 409, stale_generation and the generation of the host.
boost::asio::awaitable<void>
reject_stale_generation(engine_host& h, standin::exchange& e);

} // namespace monsoondock::engine_standin

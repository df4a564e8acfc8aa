#pragma once

#include "engine_host.hpp"

namespace monsoondock::engine_standin {

/// Answers POST /v1/orders. A host that checks generations refuses an order
/// with a lower one than it has seen. A repeated load changes nothing.
boost::asio::awaitable<void> answer_order(engine_host& h, standin::exchange& e);


/// Answers 409 stale_generation with the generation of the host.
boost::asio::awaitable<void>
refuse_stale_generation(engine_host& h, standin::exchange& e);

} // namespace monsoondock::engine_standin

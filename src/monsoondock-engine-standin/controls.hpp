#pragma once

#include "engine_host.hpp"

namespace monsoondock::engine_standin {

/// Answers POST /standin/faults.
boost::asio::awaitable<void> set_faults(engine_host& h, standin::exchange& e);


/// Answers GET /standin/counts.
boost::asio::awaitable<void>
get_counts(const engine_host& h, standin::exchange& e);

} // namespace monsoondock::engine_standin

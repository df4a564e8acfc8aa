#pragma once

#include "engine_host.hpp"

namespace monsoondock::engine_standin {

/// Handles POST /standin/faults, which injects faults into the host: the keys
/// of update_faults(), "dead" (true crashes the host, false brings it back) and
/// "pause_ms" (the host neither handles engine requests nor generates tokens
/// for that time).
boost::asio::awaitable<void> set_faults(engine_host& h, standin::exchange& e);


/// Handles GET /standin/counts, which returns the counters of the host.
boost::asio::awaitable<void>
get_counts(const engine_host& h, standin::exchange& e);

} // namespace monsoondock::engine_standin

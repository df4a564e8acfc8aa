#pragma once

#include "control_state.hpp"

#include <boost/asio/awaitable.hpp>

namespace monsoondock::daemon {

/// Keeps control_state::drains_ in step with the store. Never returns.
boost::asio::awaitable<void> run_drain_feed(control_state& state);

} // namespace monsoondock::daemon

#pragma once

#include "control_state.hpp"

#include <boost/asio/awaitable.hpp>

namespace monsoondock::daemon {

/// Keeps control_state::hosts_ in step with the platform's list of hosts. Never
/// returns.
boost::asio::awaitable<void> run_host_feed(control_state& state);

} // namespace monsoondock::daemon

#pragma once

#include "control_state.hpp"

#include <boost/asio/awaitable.hpp>

namespace monsoondock::daemon {

/// Sets the board's store calls up. Call it before requests are served.
void connect_suspect_registry(control_state& state);


/// Keeps the suspect board informed of all suspects in the store and of groups
/// that stop taking requests. Never returns.
boost::asio::awaitable<void> run_suspect_control(control_state& state);

} // namespace monsoondock::daemon

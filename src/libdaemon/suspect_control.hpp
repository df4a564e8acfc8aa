#pragma once

#include "control_state.hpp"

#include <boost/asio/awaitable.hpp>

namespace monsoondock::daemon {

/// Connects the suspect registry to the store. Must be called before requests
/// are served.
void connect_suspect_registry(control_state& state);


/// Updates the suspect registry with the suspects in the store and with the
/// groups that start or stop taking requests. Never returns.
boost::asio::awaitable<void> run_suspect_control(control_state& state);

} // namespace monsoondock::daemon

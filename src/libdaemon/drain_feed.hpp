#pragma once

#include "control_state.hpp"

#include <boost/asio/awaitable.hpp>

namespace monsoondock::daemon {

/// Keeps the operators' drains up to date. Never returns.
boost::asio::awaitable<void> run_drain_feed(control_state& state);

} // namespace monsoondock::daemon

#pragma once

#include "control_state.hpp"

#include <boost/asio/awaitable.hpp>

namespace monsoondock::daemon {

/// Keeps the groups of the daemon's region up to date, takes part in the
/// leadership of fabric domains, probes hosts and updates the admin page
/// "groups". Never returns.
boost::asio::awaitable<void> run_group_control(control_state& state);

} // namespace monsoondock::daemon

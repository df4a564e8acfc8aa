#pragma once

#include "control_state.hpp"

#include <boost/asio/awaitable.hpp>

namespace monsoondock::daemon {

/// Takes part in the membership of the daemons, answers peers, keeps the list
/// of entry hosts and posts the page "members". Never returns.
boost::asio::awaitable<void> run_peer_control(control_state& state);

} // namespace monsoondock::daemon

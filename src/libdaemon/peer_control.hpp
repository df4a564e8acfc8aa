#pragma once

#include "control_state.hpp"

#include <boost/asio/awaitable.hpp>

namespace monsoondock::daemon {

/// Runs the membership protocol, answers requests of peers, keeps the list of
/// entry hosts up to date and updates the admin page "members". Returns only
/// when the peer service can't start; control_state::failure_ then says why.
boost::asio::awaitable<void> run_peer_control(control_state& state);

} // namespace monsoondock::daemon

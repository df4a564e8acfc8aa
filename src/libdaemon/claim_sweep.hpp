#pragma once

#include "control_state.hpp"

#include <boost/asio/awaitable.hpp>

namespace monsoondock::daemon {

/// Deletes claims that are past the retention of their service, one range of
/// keys after the other, with a bounded number of store calls a second. Never
/// returns.
boost::asio::awaitable<void> run_claim_sweep(control_state& state);

} // namespace monsoondock::daemon

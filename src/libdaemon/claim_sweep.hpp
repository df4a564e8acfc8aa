#pragma once

#include "control_state.hpp"

#include <boost/asio/awaitable.hpp>

namespace monsoondock::daemon {

/// Deletes claims that are older than the retention period of their service,
/// one key range at a time, at a limited rate of store calls. Never returns.
boost::asio::awaitable<void> run_claim_sweep(control_state& state);

} // namespace monsoondock::daemon

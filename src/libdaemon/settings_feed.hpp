#pragma once

#include "control_state.hpp"

#include <boost/asio/awaitable.hpp>

namespace monsoondock::daemon {

/// Keeps the settings in force up to date and posts the page "settings". Never
/// returns.
boost::asio::awaitable<void> run_settings_feed(control_state& state);

} // namespace monsoondock::daemon

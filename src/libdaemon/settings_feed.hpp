#pragma once

#include "control_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <string_view>

namespace monsoondock::daemon {

/// Keeps the settings in force in step with the store and updates the admin
/// page "settings". Never returns.
boost::asio::awaitable<void> run_settings_feed(control_state& state);


/// Handles a peer's reply to a settings request. bundle_json is the JSON text
/// of the settings_bundle that the peer has in force; it is empty when the peer
/// has nothing newer. An older or invalid bundle is ignored. The reply counts
/// as an answer for the cold start in any case.
void apply_peer_settings(
    control_state& state,
    const base::daemon_id& peer,
    std::string_view bundle_json);

} // namespace monsoondock::daemon

#pragma once

#include "control_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <string_view>

namespace monsoondock::daemon {

/// Keeps the settings in force up to date and posts the page "settings". Never
/// returns.
boost::asio::awaitable<void> run_settings_feed(control_state& state);


/// Takes the settings that a peer has in force, as JSON text of a
/// settings_bundle, and what the start of this daemon waits for from it. An
/// empty text means that the peer has none. An older or invalid bundle changes
/// nothing.
void take_settings_of_peer(
    control_state& state,
    const base::daemon_id& peer,
    std::string_view bundle_json);

} // namespace monsoondock::daemon

#pragma once

#include "control_state.hpp"

#include <monsoondock/peer/settings_reply.hpp>
#include <monsoondock/peer/settings_request.hpp>

namespace monsoondock::daemon {

/// Answers a peer with the settings in force here.
peer::settings_reply answer_settings(
    const control_state& state, const peer::settings_request& asked);


/// What the daemon waits for from its peers.
struct peer_settings_state
{
    /// Requests without an answer yet.
    std::size_t open_ = 0;
    /// When a revision was first missed; nothing while none is.
    std::optional<base::time_point> missing_since_;
    base::time_point next_ask_;
};


/// Asks peers for settings when this daemon has none in force, or when a
/// higher revision is known for longer than the store needs to bring it.
/// waiting must outlive the control thread's context.
void ask_peers_when_due(
    control_state& state, peer_settings_state& waiting, base::time_point now);

} // namespace monsoondock::daemon

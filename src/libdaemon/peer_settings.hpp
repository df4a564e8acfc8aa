#pragma once

#include "control_state.hpp"

#include <monsoondock/peer/settings_reply.hpp>
#include <monsoondock/peer/settings_request.hpp>

namespace monsoondock::daemon {

/// Returns the reply to a peer's request for settings. The bundle is empty
/// unless the revision in force here is higher than the peer's.
peer::settings_reply answer_settings(
    const control_state& state, const peer::settings_request& request);


/// State of this daemon's settings requests to its peers.
struct peer_settings_state
{
    /// Requests without a reply so far.
    std::size_t pending_requests_ = 0;
    /// Time since which settings are missing: none in force, or a higher
    /// revision known. Nothing while the daemon is up to date.
    std::optional<base::time_point> missing_since_;
    base::time_point next_request_at_;
};


/// Requests settings from peers when this daemon has none in force, or when a
/// higher revision has been known for longer than the store usually takes to
/// deliver it. requests must outlive the control thread's context.
void request_missing_settings(
    control_state& state, peer_settings_state& requests, base::time_point now);

} // namespace monsoondock::daemon

#pragma once

#include "control_plane.hpp"

namespace monsoondock::entry::pvt {

/// Lists the evacuations in the store before this daemon becomes ready, and
/// watches them while this daemon watches the configuration; the other daemons
/// receive changes from peers. Ends at once when the settings do not enable
/// evacuations; never returns otherwise.
boost::asio::awaitable<void> run_evacuation_watch(control_plane& c);


/// Lists the evacuations once, independently of the watch, which may miss
/// changes.
boost::asio::awaitable<void> check_evacuations(control_plane& c);


/// Applies the evacuations that a peer knows.
void handle_evacuations(control_plane& c, const evacuations_message& m);


/// Returns the message that repeats the evacuations to peers, or nothing when
/// there is nothing to repeat.
std::optional<evacuations_message> repeated_evacuations(const control_plane& c);


/// Returns true when the evacuations are known as far as this daemon has to
/// know them before it may send requests.
bool knows_evacuations(const control_plane& c);


/// Returns true when nothing is to be sent to the upstreams of a data centre.
bool is_evacuated(const control_plane& c, const base::data_centre_id& id);

} // namespace monsoondock::entry::pvt

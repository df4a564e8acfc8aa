#pragma once

#include "proxy_thread.hpp"

#include <string_view>
#include <vector>

namespace monsoondock::relay::pvt {

/// Records the limit that a response of an upstream names, or that it names
/// none, and has peers told of a change.
void record_limit(proxy_thread& t, const upstream& u, std::string_view limit);


/// Records what a peer has heard of the limit of an upstream.
void apply_limit_report(proxy_thread& t, const host_limit_report& report);


/// Applies the state of a listed upstream that is cold or has lately been.
void apply_cold_state(proxy_thread& t, const upstream& u);


/// Divides the limits anew when the daemons have changed.
void update_limit_shares(proxy_thread& t);


/// Records that a request is about to be sent to an upstream.
void record_limited_send(proxy_thread& t, const base::host_id& host);


/// Returns the limits that are in force or have ended lately.
std::vector<host_limit_report> host_limits(proxy_thread& t);

} // namespace monsoondock::relay::pvt

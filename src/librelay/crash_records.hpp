#pragma once

#include "exchange.hpp"
#include "proxy_thread.hpp"
#include "try_upstream.hpp"

#include <chrono>

namespace monsoondock::relay::pvt {

/// Returns the time since the response of the current try began, or 0 when it
/// did not begin.
std::chrono::milliseconds response_age(const response_state& state);


/// Records that a try was lost, which may have been the end of its upstream,
/// and has peers told of it. Watches the upstream when the try was given up
/// instead.
void record_possible_crash(
    proxy_thread& t,
    const exchange& e,
    const response_state& state,
    const upstream& target);


/// Watches the upstream of a try that was given up before its response was
/// complete, as the upstream may have stopped responding under the request.
void watch_silent_try(
    proxy_thread& t, const exchange& e, const upstream& target);


/// Connects to upstreams that have been silent for too long since a request was
/// given up there. The losses at those that accept no connection are handled
/// like lost responses.
void check_silent_losses(proxy_thread& t, base::time_point now);


/// Ends the wait for the cause of the losses at a host: drops them when the
/// link to it was cut, and records them as possible crashes otherwise.
void resolve_losses(proxy_thread& t, const base::host_id& host, bool link_cut);


/// Records losses whose cause was not found in time.
void expire_losses(proxy_thread& t, base::time_point now);


/// Records that an upstream responded completely, which shows that earlier
/// crashes during the same request, or others with its parts, had other causes.
void record_completion(
    proxy_thread& t,
    const exchange& e,
    const response_state& state,
    const upstream& target);


/// Records what a peer has reported of parts of prompts.
void apply_part_report(proxy_thread& t, const crashes::part_report& report);


/// Returns true when the request, or requests that share parts of its prompt,
/// crash the upstreams that run them. It is not to be sent once more then.
bool crashes_upstreams(const proxy_thread& t, const exchange& e);


/// Returns true when a request that has not been sent yet may be sent: it is
/// not known to crash upstreams, or it is a trial.
bool admit_crashing_request(proxy_thread& t, const exchange& e);

} // namespace monsoondock::relay::pvt

#pragma once

#include "receive_response.hpp"

#include <optional>
#include <vector>

namespace monsoondock::relay::pvt {

// Functions that do nothing unless capacity is learned.

/// Records the pace of a stream when events have arrived: the time since the
/// previous ones, or since the request was sent, against the figures of the
/// engine. Responses that take a detour say nothing of an upstream.
void record_events(try_context& c, std::uint64_t events);


/// To be called when the caller has taken what was written to it. The time
/// until the next event is not measured after a slow write, as the upstream may
/// have been waiting for the caller.
void record_write(try_context& c);


/// Records the pace of a complete response that is not a stream, against that
/// of the other hosts of the service. A failure counts as a slow response.
void record_call(try_context& c, const http_response& response);


/// Updates the paces of all upstreams, logs those that become slow or are no
/// longer slow, and tells peers of the former. To be called several times a
/// second.
void update_paces(proxy_thread& t, base::time_point now);


/// Returns the evidence of this daemon of which peers are to be told.
std::vector<hostpace::pace_report>
pace_reports(proxy_thread& t, base::time_point now);


/// Records evidence of peers. Evidence of another process of a host is dropped.
void apply_pace_reports(
    proxy_thread& t,
    const base::daemon_id& source,
    const std::vector<hostpace::pace_report>& reports);


/// Returns a slow upstream that the request is to probe, or nothing. Only first
/// tries of requests of the routes with the longest target latency are used.
std::optional<upstream> choose_probed_upstream(
    proxy_thread& t, const exchange& e, const std::vector<upstream>& upstreams);

} // namespace monsoondock::relay::pvt

#pragma once

#include "http_serializer.hpp"

#include <monsoondock/base/identifier.hpp>

namespace monsoondock::relay::pvt {

/// Most requests of other daemons that a daemon serves at the same time. Each
/// holds two connections, as a request of a caller does.
inline constexpr std::size_t max_detours = 256;


/// Serializes the request for another daemon, which serves it in place of
/// self: as it came from the caller, with the remaining time, the last event
/// received, the upstreams that were tried, and the number of those that may
/// have executed it.
std::string serialize_detour_request(
    const exchange& e,
    const header_names& names,
    const forwarding_fields& fields,
    const base::daemon_id& self);


/// Reads what the daemon that passed the request on has added to it, and
/// removes it from the request.
void read_detour_fields(exchange& e);


/// Returns true when the response to a detour is the helper's own refusal of a
/// request that this daemon has admitted: their configurations differ for a
/// moment. The request has not been executed. Earlier builds don't mark their
/// refusals, which count as responses of upstreams.
bool is_refused_by_helper(const http_response& response);

} // namespace monsoondock::relay::pvt

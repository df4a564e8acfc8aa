#pragma once

#include "exchange.hpp"
#include "proxy_thread.hpp"
#include "try_upstream.hpp"

#include <optional>

namespace monsoondock::relay::pvt {

/// Records that a request was lost when its upstream may have ended, not long
/// after the response had begun, and has peers told of it.
void record_part_crash(
    proxy_thread& t,
    const exchange& e,
    const response_state& state,
    const upstream& target);


/// Records that an upstream responded to a request completely and successfully.
void record_part_completion(
    proxy_thread& t, const exchange& e, const upstream& target);


/// Records what a peer has reported.
void apply_part_report(proxy_thread& t, const crashes::part_report& report);


/// Returns a part of the request's prompt under which upstreams crash, if there
/// is one. Such a request is not to be sent.
std::optional<crashes::prompt_part>
find_crashing_part(const proxy_thread& t, const exchange& e);

} // namespace monsoondock::relay::pvt

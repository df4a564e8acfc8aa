#pragma once

#include "traffic_thread.hpp"

#include <monsoondock/traffic/upstream_load.hpp>

#include <string>
#include <string_view>

namespace monsoondock::traffic::pvt {

/// Field in which an upstream names its limit; see shared_host_limit.
inline constexpr const char* limit_field = "X-Request-Limit";


/// Records the limit that a response of an upstream names, or that it names
/// none. upstream is the name by which all daemons know the upstream.
inline void record_limit(
    const traffic_thread& thread,
    upstream_load& load,
    const std::string& upstream,
    std::string_view limit)
{
    const base::time_point now = base::boot_clock::now();
    if (!load.limit_.state_response(limit, now))
        return;
    load.limit_.update_share(
        {upstream},
        thread.options_.claims_.self_.daemon_,
        thread.options_.snapshots_.get()->live_daemons_,
        now);
}

} // namespace monsoondock::traffic::pvt

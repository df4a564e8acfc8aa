#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/relay/upstream.hpp>
#include <monsoondock/relay/upstream_table.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace monsoondock::relay {

/// Time over which the share of requests of an upstream grows to its full one
/// after a pause.
inline constexpr std::chrono::milliseconds ramp_time{1000};


/// Pause for callers of a daemon that has no share in the limits of upstreams.
inline constexpr std::chrono::milliseconds unshared_limit_pause{500};


/// Returns the part, from 0 to 1, of its usual requests that an upstream is to
/// get: 0 when the link to it is cut, when it is leaving, has asked for a
/// pause, or has a limit, named by it or as it is cold, and gets nothing of
/// this daemon at present; and a growing one for ramp_time after a pause or
/// after it was cold.
///
/// Answers upstreams that are full and reject many daemons at the same time:
/// without the ramp all of them would return together at the end of the pause.
double usable_share(const upstream_state& s, base::time_point now);


/// Returns when the first paused, limited or cold upstream of a model accepts
/// requests of this daemon again, or nothing when an upstream of the model
/// accepts them now or none ever will. For an upstream whose limit is shared by
/// other daemons alone, which the caller may try, that is after
/// unshared_limit_pause.
std::optional<base::time_point> earliest_pause_end(
    const std::vector<upstream>& all,
    const upstream_table& table,
    const std::string& model,
    base::time_point now);

} // namespace monsoondock::relay

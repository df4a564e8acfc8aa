#pragma once

#include "request_timeline.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace monsoondockctl {

/// Requests that ended in one second, and the groups at its end.
struct second_counts
{
    /// Answered successfully within the latency target of the route.
    std::uint64_t in_time_ = 0;
    /// Answered successfully but later than the target.
    std::uint64_t late_ = 0;
    /// Requests that were not answered with a 2xx status, by reason;
    /// upstream_<status> for other answers of upstreams.
    std::map<std::string, std::uint64_t> failures_;
    /// Number of groups by state, from the latest events that the leader
    /// logged.
    std::map<std::string, std::uint64_t> groups_;
};


/// Requests and groups over time, from the logs of a fleet.
struct log_summary
{
    /// Start of the first second.
    std::chrono::sys_seconds begin_;
    /// One entry for each second, without gaps.
    std::vector<second_counts> seconds_;
    /// Number of lines that daemons suppressed to bound the log volume or
    /// dropped because the reader of the log was too slow, and of those
    /// beyond the span of a summary.
    std::uint64_t omitted_lines_ = 0;
};


/// Summarises the log lines of any number of daemons. The summary has no
/// seconds when no line has a time. It covers at most one day; later lines are
/// counted as omitted.
log_summary summarize(const std::vector<log_line>& lines);

} // namespace monsoondockctl

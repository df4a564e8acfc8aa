#pragma once

#include "request_story.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace monsoondockctl {

/// How the requests of one second ended.
struct second_counts
{
    /// Answered within the latency that the route aims at.
    std::uint64_t in_time_ = 0;
    /// Answered later than that.
    std::uint64_t late_ = 0;
    /// Ended by this system without an answer, by reason.
    std::map<std::string, std::uint64_t> ended_;
    /// Groups by state, as the leader told them last.
    std::map<std::string, std::uint64_t> groups_;
};


/// What the logs of a fleet tell over time.
struct log_summary
{
    /// Time of day of the first second.
    std::chrono::sys_seconds begin_;
    /// One entry for each second, without gaps.
    std::vector<second_counts> seconds_;
    /// Lines that were left out to bound the volume, and those lost because
    /// nobody read them.
    std::uint64_t left_out_ = 0;
};


/// Sums up log lines of any number of daemons. A summary of no seconds is
/// returned when no line has a time. At most a day is covered; lines beyond
/// it are left out and counted.
log_summary summarize(const std::vector<log_line>& lines);

} // namespace monsoondockctl

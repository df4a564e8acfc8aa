#pragma once

#include <cstddef>

namespace monsoondock::entry::pvt {

/// Order in which messages of other daemons are handled.
enum class message_priority
{
    /// Membership, which carries the news of configurations, leadership, host
    /// changes, and what protects hosts and callers.
    control,
    /// Loads, demand, paces, and requests to the leader.
    load,
    /// Evidence about single hosts and links, which each daemon can also gather
    /// by itself.
    evidence
};


inline constexpr std::size_t message_priorities = 3;

} // namespace monsoondock::entry::pvt

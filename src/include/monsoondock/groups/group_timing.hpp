#pragma once

#include <chrono>

namespace monsoondock::groups {

/// Intervals of the group protocol. All daemons of an installation must use the
/// same values, because the release of hosts waits for the leases that other
/// daemons hold.
struct group_timing
{
    /// Age from which evidence about a host no longer allows a dispatch.
    std::chrono::milliseconds dispatch_lease_{8000};
    /// Shortest and longest time between two status probes of one host by one
    /// observer; see paced_interval.
    std::chrono::milliseconds probe_interval_{1000};
    std::chrono::milliseconds longest_probe_interval_{4000};
    /// Shortest and longest time between two rounds of health requests.
    std::chrono::milliseconds health_interval_{1000};
    std::chrono::milliseconds longest_health_interval_{3000};
    /// Time after a store read that shows a leader's own term during which that
    /// leader may send orders.
    std::chrono::milliseconds term_lease_{4000};
    /// Silence of a domain's leader after which the first candidate challenges
    /// it.
    std::chrono::milliseconds challenge_after_{3000};
    /// Additional silence for each further rank among the candidates.
    std::chrono::milliseconds challenge_rank_delay_{1000};
    /// Time that a leader has to clear a challenge before it is replaced.
    std::chrono::milliseconds challenge_timeout_{2000};
    /// Longest time between the sending of an order and its execution.
    std::chrono::milliseconds order_timeout_{2000};
    /// Safety margin for clocks that run at slightly different rates and for
    /// the time between the check of a dispatch and its first byte.
    std::chrono::milliseconds margin_{500};
    /// Time without evidence or an answer after which a member counts as lost.
    std::chrono::milliseconds member_lost_after_{10000};
    /// Longest time that a group may stay in forming.
    std::chrono::milliseconds formation_timeout_{120000};
    /// Longest time that a planned retirement waits for running requests.
    std::chrono::milliseconds drain_timeout_{60000};
    /// Age from which the last answer of a host no longer counts as contact. A
    /// host without contact is not assigned to a group.
    std::chrono::milliseconds contact_lifetime_{10000};
};

} // namespace monsoondock::groups

#pragma once

#include <chrono>

namespace monsoondock::groups {

/// Intervals of the group protocol. Every daemon of an installation must use
/// the same values: a release waits for leases that other daemons hold.
struct group_timing
{
    /// Age at which evidence about a host no longer allows a dispatch.
    std::chrono::milliseconds dispatch_lease_{8000};
    /// Shortest and longest time between two status probes of one host by one
    /// observer; see paced_interval.
    std::chrono::milliseconds probe_interval_{1000};
    std::chrono::milliseconds longest_probe_interval_{4000};
    /// Shortest and longest time between two rounds of verdict requests.
    std::chrono::milliseconds health_interval_{1000};
    std::chrono::milliseconds longest_health_interval_{3000};
    /// Time for which a store read that shows the own term allows orders.
    std::chrono::milliseconds term_lease_{4000};
    /// Silence of a domain's leader after which the first candidate challenges.
    std::chrono::milliseconds challenge_after_{3000};
    /// Additional silence for each further candidate.
    std::chrono::milliseconds challenge_step_{1000};
    /// Time that a leader has to clear a challenge.
    std::chrono::milliseconds challenge_wait_{2000};
    /// Longest time between the sending of an order and its execution.
    std::chrono::milliseconds order_timeout_{2000};
    /// Allowance for clocks that run at slightly different rates and for the
    /// time between the check of a dispatch and its first byte.
    std::chrono::milliseconds margin_{500};
    /// Time without evidence after which a member counts as lost.
    std::chrono::milliseconds repair_after_{10000};
    /// Longest time that a group may stay in forming.
    std::chrono::milliseconds formation_timeout_{120000};
    /// Longest time that a planned retirement waits for running requests.
    std::chrono::milliseconds drain_timeout_{60000};
    /// Age at which an idle host's last answer no longer makes it a candidate.
    std::chrono::milliseconds contact_lifetime_{10000};
};

} // namespace monsoondock::groups

#pragma once

#include <monsoondock/membership/safeguards.hpp>

#include <chrono>
#include <cstddef>

namespace monsoondock::membership {

/// Timing and limits of a node.
struct node_config
{
    /// Interval between the probes that a node starts.
    std::chrono::milliseconds probe_period_{1000};
    /// Time to wait for a direct answer before indirect probes are requested.
    std::chrono::milliseconds direct_timeout_{400};
    /// Number of members that are asked for an indirect probe.
    std::size_t indirect_probes_ = 3;
    /// Suspicion timeout per decimal logarithm of the number of members; also
    /// the shortest suspicion timeout.
    std::chrono::milliseconds suspicion_base_{3000};
    /// Interval between scans for expired suspicions.
    std::chrono::milliseconds expiry_period_{500};
    /// Interval between probes of dead members.
    std::chrono::milliseconds dead_probe_period_{5000};
    /// How long a dead member stays in the table.
    std::chrono::milliseconds dead_retention_{std::chrono::hours(2)};
    /// Mean interval between table synchronizations with a random member.
    std::chrono::milliseconds sync_period_{10000};
    /// Mean interval between table synchronizations while the tables differ
    /// widely.
    std::chrono::milliseconds catch_up_period_{200};
    /// Interval between attempts to contact seeds that are not live members.
    std::chrono::milliseconds seed_period_{30000};
    /// Interval between attempts to join while no live member is known.
    std::chrono::milliseconds join_period_{1000};
    /// Shortest interval between status updates that change only the load.
    std::chrono::milliseconds load_period_{5000};
    /// A gap of this length or more between two steps counts as a pause of the
    /// process.
    std::chrono::milliseconds pause_threshold_{2000};
    /// Shortest interval between transmissions of urgent updates outside the
    /// regular probes.
    std::chrono::milliseconds urgent_period_{200};
    /// Number of members that an urgent update is sent to at once.
    std::size_t urgent_fanout_ = 3;
    /// Transmissions of each update per decimal logarithm of the number of
    /// members, the logarithm rounded up.
    std::size_t retransmit_factor_ = 4;
    /// Number of status rows of other members in each datagram.
    std::size_t status_rows_ = 6;
    safeguards safeguards_;
};

} // namespace monsoondock::membership

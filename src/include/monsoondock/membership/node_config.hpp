#pragma once

#include <monsoondock/membership/safeguards.hpp>

#include <chrono>
#include <cstddef>

namespace monsoondock::membership {

/// Timing and bounds of a node.
struct node_config
{
    /// Time between two probes that a node starts.
    std::chrono::milliseconds probe_period_{1000};
    /// Time to wait for a direct answer before others are asked to probe.
    std::chrono::milliseconds direct_timeout_{400};
    /// Number of others that are asked to probe.
    std::size_t indirect_probes_ = 3;
    /// A suspicion lasts this long times the decimal logarithm of the number
    /// of members, and never less than this.
    std::chrono::milliseconds suspicion_base_{3000};
    /// Time between two searches for suspicions that have run out.
    std::chrono::milliseconds expiry_period_{500};
    /// Time between two probes of dead members.
    std::chrono::milliseconds dead_probe_period_{5000};
    /// How long a dead member stays in the table.
    std::chrono::milliseconds dead_retention_{std::chrono::hours(2)};
    /// Time between two comparisons of the table with a random member.
    std::chrono::milliseconds sync_period_{10000};
    /// Time between two comparisons while the tables differ widely.
    std::chrono::milliseconds catch_up_period_{200};
    /// Time between two attempts to reach a seed that is no live member.
    std::chrono::milliseconds seed_period_{30000};
    /// Time between two attempts to join while no member is known.
    std::chrono::milliseconds join_period_{1000};
    /// Shortest time between two spreads of changes of the load alone.
    std::chrono::milliseconds load_period_{5000};
    /// A step later than this after the one before means a paused process.
    std::chrono::milliseconds pause_threshold_{2000};
    /// Shortest time between two extra spreads of urgent changes.
    std::chrono::milliseconds urgent_period_{200};
    /// Number of members that an urgent change is sent to at once.
    std::size_t urgent_fanout_ = 3;
    /// An update is sent this often times the decimal logarithm of the number
    /// of members, rounded up.
    std::size_t retransmit_factor_ = 4;
    /// Status rows of other members in each datagram.
    std::size_t status_rows_ = 6;
    safeguards safeguards_;
};

} // namespace monsoondock::membership

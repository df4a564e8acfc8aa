#pragma once

#include "update_queue.hpp"

#include <monsoondock/membership/member.hpp>
#include <monsoondock/membership/node_config.hpp>
#include <monsoondock/membership/node_counters.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <vector>

namespace monsoondock::membership::pvt {

/// Probe by this node that has not been answered yet.
struct pending_probe
{
    base::daemon_id target_;
    std::uint32_t sequence_ = 0;
    base::time_point started_;
    bool indirect_ = false;
};


/// Indirect probe that this node performs on behalf of another.
struct relayed_probe
{
    std::uint32_t sequence_ = 0;
    std::uint32_t origin_sequence_ = 0;
    endpoint origin_;
    base::time_point expires_;
};


/// Times at which each kind of periodic work is due next.
struct schedule
{
    base::time_point probe_;
    base::time_point dead_probe_;
    base::time_point sync_;
    base::time_point seed_;
    base::time_point urgent_;
    base::time_point load_;
    base::time_point expiry_;
};


/// State that a node keeps between steps.
struct node_state
{
    node_config config_;
    member_record self_;
    std::vector<endpoint> seeds_;
    std::mt19937_64 random_;
    member_table members_;
    std::optional<base::time_point> last_step_;
    schedule next_due_;
    /// When a record was last requested from a daemon that is not in the table.
    base::time_point unknown_record_requested_at_;

    std::optional<pending_probe> probe_;
    std::vector<relayed_probe> relayed_probes_;
    std::uint32_t last_sequence_ = 0;
    /// Daemon names in probing order, and the index of the next one to probe.
    std::vector<base::daemon_id> probe_order_;
    std::size_t probe_position_ = 0;

    update_queue updates_;
    /// Members whose changed status has not been sent in a status row yet, the
    /// latest change first.
    std::deque<base::daemon_id> recent_statuses_;
    /// Last member whose status row was sent in round-robin order.
    base::daemon_id row_cursor_;
    /// Daemon names by the hash that status rows use.
    std::map<std::uint32_t, base::daemon_id> names_by_hash_;

    std::uint64_t highest_revision_ = 0;
    /// Whether queued updates should be sent before the next probe.
    bool urgent_ = false;
    /// Load that was set but not published yet.
    std::optional<std::uint16_t> pending_load_;
    node_counters counters_;
};

} // namespace monsoondock::membership::pvt

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

/// Probe that this node waits for.
struct open_probe
{
    base::daemon_id target_;
    std::uint32_t sequence_ = 0;
    base::time_point started_;
    bool indirect_ = false;
};


/// Probe that this node makes on behalf of another.
struct relayed_probe
{
    std::uint32_t sequence_ = 0;
    std::uint32_t origin_sequence_ = 0;
    endpoint origin_;
    base::time_point expires_;
};


/// Times at which periodic work is due next.
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


/// Everything that a node keeps between two steps.
struct node_state
{
    node_config config_;
    member_record self_;
    std::vector<endpoint> seeds_;
    std::mt19937_64 random_;
    member_table members_;
    std::optional<base::time_point> last_step_;
    schedule due_;
    /// When a daemon that is not in the table was last asked for its record.
    base::time_point asked_unknown_;

    std::optional<open_probe> probe_;
    std::vector<relayed_probe> relays_;
    std::uint32_t last_sequence_ = 0;
    /// Names in the order of probing, and the position of the next one.
    std::vector<base::daemon_id> probe_order_;
    std::size_t probe_position_ = 0;

    update_queue updates_;
    /// Members with a status that changed lately, the latest first.
    std::deque<base::daemon_id> recent_statuses_;
    /// Last member whose row went out in turn.
    base::daemon_id row_cursor_;
    /// Name of a member by the hash that status rows use.
    std::map<std::uint32_t, base::daemon_id> names_;

    std::uint64_t highest_revision_ = 0;
    /// Something waits that has to be sent before the next probe.
    bool urgent_ = false;
    /// A load that was set but not spread yet.
    std::optional<std::uint16_t> waiting_load_;
    node_counters counters_;
};

} // namespace monsoondock::membership::pvt

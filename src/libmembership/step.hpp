#pragma once

#include "node_state.hpp"

#include <monsoondock/membership/node_output.hpp>

#include <cstddef>
#include <vector>

namespace monsoondock::membership::pvt {

/// Context of one call into a node: its state, the current time and the output.
struct step
{
    node_state& node_;
    base::time_point now_;
    node_output& out_;
    /// Whether changes learned in this step are queued for dissemination.
    /// Records in a sync message are not, except the record of its sender: the
    /// sender knew the others already.
    bool forwards_updates_ = true;
};


/// Returns up to count distinct random members that are not dead, leaving out
/// except.
std::vector<const member*>
random_live_members(step& s, std::size_t count, const base::daemon_id& except);


/// Returns the number of members that are not dead, this node included.
std::size_t count_live_members(const node_state& node);


/// Returns a random duration in [0, limit).
base::duration random_duration(node_state& node, base::duration limit);


/// Queues a member's record for dissemination if forwards_updates_ is set.
void queue_update(step& s, const base::daemon_id& id);


/// Returns the number of times each update is sent.
std::size_t transmit_limit(const node_state& node);

} // namespace monsoondock::membership::pvt

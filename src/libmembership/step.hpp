#pragma once

#include "node_state.hpp"

#include <monsoondock/membership/node_output.hpp>

#include <cstddef>
#include <vector>

namespace monsoondock::membership::pvt {

/// One call into a node: its state, the time and what the call gives back.
struct step
{
    node_state& node_;
    base::time_point now_;
    node_output& out_;
    /// Whether what is learned goes on to others. Records from a comparison
    /// of tables do not: the daemon that sent them knew them already.
    bool spreads_ = true;
};


/// Returns up to count different members, alive or suspect or leaving, at
/// random. except is never among them.
std::vector<const member*>
random_members(step& s, std::size_t count, const base::daemon_id& except);


/// Returns the number of members that are not dead, this node included.
std::size_t live_count(const node_state& node);


/// Returns a random length of time from zero up to below limit.
base::duration random_duration(node_state& node, base::duration limit);


/// Puts a member's record into the updates that go out, when this step
/// spreads what it learns.
void spread(step& s, const base::daemon_id& id);


/// Returns how often one update is sent.
std::size_t transmit_limit(const node_state& node);

} // namespace monsoondock::membership::pvt

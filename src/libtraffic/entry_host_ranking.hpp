#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/traffic/entry_host_row.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace monsoondock::traffic::pvt {

/// Returns the addresses of up to count entry hosts for a workspace, in order
/// of preference: by distance, and at equal distance by rendezvous hashing, so
/// that the callers of a workspace use few daemons.
std::vector<std::string> rank_entry_hosts(
    const base::workspace_id& workspace,
    const std::vector<entry_host_row>& rows,
    std::size_t count);

} // namespace monsoondock::traffic::pvt

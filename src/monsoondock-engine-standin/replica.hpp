#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace monsoondock::engine_standin {

/// A host's share of a replica, as set by the last order. A host without a
/// group is idle.
struct replica
{
    std::string group_;
    std::uint64_t generation_ = 0;
    std::string deployment_;
    std::uint64_t rank_ = 0;
    /// Addresses of the group's hosts by rank.
    std::vector<std::string> hosts_;
    /// When loading the model completes.
    std::chrono::steady_clock::time_point ready_at_;
};


/// Returns "idle", "loading" or "ready".
const char* phase(const replica& r);


/// Returns "none", "head" or "member".
const char* role(const replica& r);


/// Returns whether the model is loaded.
bool is_ready(const replica& r);

} // namespace monsoondock::engine_standin

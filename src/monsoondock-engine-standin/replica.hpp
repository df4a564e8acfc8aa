#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace monsoondock::engine_standin {

/// What the last order made of a host. Without a group it is idle.
struct replica
{
    std::string group_;
    std::uint64_t generation_ = 0;
    std::string deployment_;
    std::uint64_t rank_ = 0;
    /// Addresses of the group's hosts by rank.
    std::vector<std::string> hosts_;
    std::chrono::steady_clock::time_point ready_at_;
};


/// Returns "idle", "loading" or "ready".
const char* phase(const replica& r);


/// Returns "none", "head" or "member".
const char* role(const replica& r);


/// Tells whether the model is loaded.
bool is_ready(const replica& r);

} // namespace monsoondock::engine_standin

#pragma once

#include <monsoondock/crashes/prompt_part.hpp>

#include <chrono>
#include <cstdint>
#include <vector>

namespace monsoondock::crashes {

/// A request that was lost when its host ended.
struct part_crash
{
    /// Parts of its prompt that other requests may share.
    std::vector<prompt_part> parts_;
    /// Identifies the host and the run of its process.
    std::uint64_t host_run_ = 0;
    /// Equal for a request and its repetitions.
    std::uint64_t request_ = 0;
    /// True when the response had begun to arrive, but not long before.
    bool begun_ = false;
    /// Time since it was lost.
    std::chrono::milliseconds age_{0};
};

} // namespace monsoondock::crashes

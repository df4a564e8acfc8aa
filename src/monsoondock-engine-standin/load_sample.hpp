#pragma once

#include <chrono>
#include <cstddef>

namespace monsoondock::engine_standin {

/// Load of a host when it was last sampled, as its status reports it.
struct load_sample
{
    std::chrono::steady_clock::time_point taken_at_;
    std::size_t running_ = 0;
    std::size_t queued_ = 0;
    std::size_t cached_prefixes_ = 0;
};

} // namespace monsoondock::engine_standin

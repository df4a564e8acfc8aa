#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/crashes/prompt_part.hpp>

#include <cstdint>

namespace monsoondock::crashes {

/// A request that was in flight on a host when that ended.
struct lost_request
{
    /// Parts of its prompt that may have crashed the host.
    part_set parts_;
    std::uint64_t host_run_ = 0;
    std::uint64_t request_ = 0;
    bool begun_ = false;
    base::time_point time_;
};

} // namespace monsoondock::crashes

#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <chrono>

namespace monsoondock::claims {

/// Time of day, for what is compared between hosts. It decides when records
/// are forgotten and what a waiting caller is told, never whether a call runs.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;


/// The present on both clocks.
struct moment
{
    base::time_point boot_;
    wall_time wall_;
};

} // namespace monsoondock::claims

#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/crashes/part_crash.hpp>
#include <monsoondock/relay/crash_tracker.hpp>

#include <optional>

namespace monsoondock::relay::pvt {

/// Loss of a response that may be due to a crash of the upstream, or to a cut
/// link.
struct possible_crash
{
    crash_report report_;
    /// Set when a part of the prompt may have crashed the upstream.
    std::optional<crashes::part_crash> part_;
    base::time_point lost_at_;
};

} // namespace monsoondock::relay::pvt

#pragma once

#include <chrono>

namespace monsoondock::base {

/// Monotonic clock of the time since the host booted (CLOCK_BOOTTIME). It keeps
/// running while the process is stopped or the host is suspended, so a measured
/// interval is never shorter than the real one.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;

    static constexpr bool is_steady = true;


    /// Returns the current time. Cannot fail on a supported kernel.
    static time_point now() noexcept;
};

/// Point in time on boot_clock. Functions that make decisions take it as a
/// parameter instead of reading the clock, so that tests can control time.
using time_point = boot_clock::time_point;

/// Duration in nanoseconds.
using duration = boot_clock::duration;

} // namespace monsoondock::base

#pragma once

#include <chrono>

namespace monsoondock::base {

/// Clock of the time since the host booted. It goes on while the process or
/// the host is paused, so an interval measured on it never comes out shorter
/// than the real one. Source: CLOCK_BOOTTIME of the C library.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;

    static constexpr bool is_steady = true;


    /// Returns the present time. Never fails on a supported kernel.
    static time_point now() noexcept;
};

/// Point in time that every decision function takes from its caller.
using time_point = boot_clock::time_point;

/// Length of time in nanoseconds.
using duration = boot_clock::duration;

} // namespace monsoondock::base

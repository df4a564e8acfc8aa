#include "shutdown_times.hpp"

#include <algorithm>

namespace monsoondock::entry::pvt {

namespace {

using std::chrono::milliseconds;

// Longest time after the signal in which the expected end of a response counts.
// Callers accept that a request sent in the first 3 s is cut at the end of the
// grace period; the rest is for a signal that is handled late.
constexpr milliseconds max_estimate_time{2700};
// Time before the kill at which requests are aborted, and the part of the grace
// period that it is at most: callers accept no abort before the last sixth.
constexpr milliseconds abort_before_kill{400};
constexpr int abort_divisor = 8;

} // namespace

relay::drain_schedule plan_shutdown(
    base::time_point start, milliseconds grace, milliseconds address_lifetime)
{
    return {
        start + std::min(address_lifetime, max_estimate_time),
        start + grace - std::min(abort_before_kill, grace / abort_divisor)};
}

} // namespace monsoondock::entry::pvt

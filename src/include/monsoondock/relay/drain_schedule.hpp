#pragma once

#include <monsoondock/base/boot_clock.hpp>

namespace monsoondock::relay {

/// Times of a graceful shutdown.
struct drain_schedule
{
    /// Until then callers may use the address of this daemon, as its directory
    /// told them.
    base::time_point accept_until_;
    /// When requests in progress are aborted.
    base::time_point exit_at_;
};


/// Returns true when a request that arrives during the shutdown is accepted:
/// because its response is due before the end, or because it is expected to end
/// by then and its caller could not know of the shutdown.
bool accepts(
    const drain_schedule& schedule,
    base::time_point now,
    base::time_point deadline,
    base::time_point expected_end) noexcept;

} // namespace monsoondock::relay

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
    /// Until then no other daemon is known to be ready, and callers may use the
    /// address of this one.
    base::time_point cover_until_{};
};


/// When the response to a request that is accepted now ends.
struct response_end
{
    base::time_point deadline_;
    /// Expected from the size of the request and of its response as the caller
    /// estimates it.
    base::time_point expected_;
};


/// Why a request that arrives during the shutdown is accepted.
enum class acceptance
{
    /// It is not.
    rejected,
    /// Its response is due before the end.
    due_in_time,
    /// It is expected to end in time, and its caller could not know of the
    /// shutdown.
    expected_in_time
};


/// Returns whether a request that arrives during the shutdown is accepted, and
/// why.
acceptance assess(
    const drain_schedule& schedule,
    base::time_point now,
    const response_end& end) noexcept;


/// Returns the name of an acceptance as it appears in logs.
const char* to_string(acceptance a) noexcept;

} // namespace monsoondock::relay

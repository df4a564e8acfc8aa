#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <chrono>

namespace monsoondock::relay {

/// Times of a graceful shutdown.
struct drain_schedule
{
    /// Until then callers may use the address of this daemon, as its directory
    /// told them, and requests are accepted on their expected end.
    base::time_point accept_until_;
    /// When requests in progress are aborted.
    base::time_point exit_at_;
    /// When another daemon is expected to be ready; in the past when one is.
    base::time_point others_ready_at_{};
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


/// Returns how long it will take until another daemon is ready; zero when one
/// is.
std::chrono::milliseconds
others_ready_in(const drain_schedule& schedule, base::time_point now) noexcept;


/// Returns the name of an acceptance as it appears in logs.
const char* to_string(acceptance a) noexcept;

} // namespace monsoondock::relay

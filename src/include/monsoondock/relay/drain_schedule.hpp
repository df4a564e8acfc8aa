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
    /// Until then requests are accepted whose responses are sure to end in
    /// time, because no other daemon is ready.
    base::time_point cover_until_{};
};


/// When the response to a request that is accepted now ends.
struct response_end
{
    base::time_point deadline_;
    /// Expected from the size of the request and of its response as the caller
    /// estimates it.
    base::time_point expected_;
    /// The latest, judged by the longest answer that the request may have and
    /// the pace of the upstreams; the deadline when these are not known.
    base::time_point latest_;
};


/// Returns true when a request that arrives during the shutdown is accepted:
/// because its response is due before the end, or because it is expected to end
/// by then and its caller could not know of the shutdown, or because it will
/// end by then and the caller has no other daemon.
bool accepts(
    const drain_schedule& schedule,
    base::time_point now,
    const response_end& end) noexcept;

} // namespace monsoondock::relay

#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace monsoondock::entry::pvt {

struct control_plane;


/// A host that does not accept a connection within this time is not reached.
inline constexpr std::chrono::milliseconds probe_timeout{200};


/// Why a daemon connects to a host without a request; for metrics.
enum class probe_cause
{
    /// It checks or tests its own link.
    own,
    /// A peer has asked about the host.
    asked,
    /// It compares the host with others.
    comparison
};


/// Connects to a host and records the result, or waits for the result of an
/// attempt that is under way. Returns whether the host accepted.
boost::asio::awaitable<bool>
probe(control_plane& c, base::host_id id, probe_cause cause);


/// Probes some other hosts, unless one was reached or others were probed since
/// a time.
void probe_others(
    control_plane& c, const base::host_id& host, base::time_point since);

} // namespace monsoondock::entry::pvt

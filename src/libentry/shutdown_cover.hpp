#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/membership/member.hpp>

#include <chrono>
#include <optional>
#include <set>

namespace monsoondock::entry::pvt {

struct control_plane;

/// A daemon that is shutting down.
struct stopping_daemon
{
    base::daemon_id daemon_;
    /// When its shutdown began.
    base::time_point since_;
};


/// A daemon that ended this recently is expected to start again.
inline constexpr std::chrono::seconds restart_allowance{10};


/// Returns how long callers may use the addresses in a response of the
/// directory. configured is the usual time. The addresses of covering daemons
/// are for a short time, so that callers soon learn of one that is ready.
std::chrono::milliseconds
directory_ttl(bool covering, std::chrono::milliseconds configured);


/// Returns the stopping daemons that go on accepting callers because no daemon
/// is ready: of those that stop or have ended recently, the half that began
/// last. The others end as usual and are ready again in the meantime. self is
/// this daemon if it is stopping. Empty while any daemon is ready.
std::set<base::daemon_id> covering_daemons(
    const membership::member_table& members,
    const std::optional<stopping_daemon>& self,
    base::time_point now);


/// Returns when a daemon is expected to be ready: now if one is, else when the
/// first of those that start, have ended recently or are about to end will be.
/// Those that cover for others are not counted. self is this daemon, which is
/// stopping; stop_time is the least time that a shutdown takes.
base::time_point next_ready(
    const membership::member_table& members,
    const stopping_daemon& self,
    std::chrono::milliseconds stop_time,
    base::time_point now);


/// Returns those that this daemon knows of, itself perhaps included.
std::set<base::daemon_id> covering_daemons(const control_plane& c);

} // namespace monsoondock::entry::pvt

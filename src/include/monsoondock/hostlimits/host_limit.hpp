#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace monsoondock::hostlimits {

/// Largest limit that is taken seriously; a host that accepts more a second
/// needs no limit.
inline constexpr double max_limit_per_second = 10000;

/// A limit below this one, also 0, is raised to it.
inline constexpr double min_limit_per_second = 0.001;

/// Time after which a limit is forgotten that neither a response of the host
/// nor a peer has repeated.
inline constexpr std::chrono::seconds limit_memory{30};


/// Limit of the requests that a host accepts from all daemons together, and the
/// share of this daemon in it.
struct host_limit
{
    /// Requests a second of all daemons; 0 when the host names no limit.
    double per_second_ = 0;
    /// When the host said so.
    base::time_point stated_at_;
    /// Requests a second of this daemon.
    double share_ = 0;
    /// Part of a request that may be sent now, up to 1, as of level_at_.
    double level_ = 0;
    base::time_point level_at_;
};


/// Parses the limit that a host names in a response, a decimal number of
/// requests a second. Returns nothing when the text is not a number of at least
/// 0.
std::optional<double> parse_limit(std::string_view text);


/// Returns the requests a second that a daemon may send to a host. A limit is
/// divided among so few daemons, chosen by a hash of their names and the
/// host's, that together they cannot exceed it by much when all of them have
/// been idle before: each may send one request at once. Daemons that know each
/// other choose the same ones without an exchange.
double share_of_limit(
    double per_second,
    const base::host_id& host,
    const base::daemon_id& self,
    const std::vector<base::daemon_id>& others);


/// Same for the limit of a cold host, which has to hold in any one second. So
/// few daemons share it that what each may send at once stays within a quarter
/// of it and two requests, and the part of each does not depend on how many
/// others there are: a daemon that knows too few of them exceeds the limit by
/// its own part at most. others are all daemons that have been known lately,
/// whether or not they are alive, so that both sides of a partition choose the
/// same ones.
double share_of_cold_limit(
    double per_second,
    const base::host_id& host,
    const base::daemon_id& self,
    const std::vector<base::daemon_id>& others);


/// Puts a limit into force that ends at a time, with no share and nothing to be
/// sent at once, or changes the end or the rate of one that is in force. Rate
/// 0: no limit.
void limit_until(
    host_limit& limit,
    double per_second,
    base::time_point end,
    base::time_point now);


/// Number of daemons among which a limit is divided.
std::size_t sharing_daemons(double per_second, std::size_t daemons);


/// Records what a host has said, a limit or 0 for none, unless something later
/// is known. Returns true when the limit has changed.
bool state_limit(
    host_limit& limit, double per_second, base::time_point stated_at);


/// Changes the share of this daemon.
void set_share(host_limit& limit, double share, base::time_point now);


/// Returns true when a limit is in force.
bool is_limited(const host_limit& limit, base::time_point now);


/// Returns true when this daemon may send the host a request.
bool may_send(const host_limit& limit, base::time_point now);


/// Records that this daemon sends the host a request.
void record_send(host_limit& limit, base::time_point now);


/// Returns when this daemon may send the host the next request; nothing when it
/// has no share in the limit.
std::optional<base::time_point>
next_send(const host_limit& limit, base::time_point now);

} // namespace monsoondock::hostlimits

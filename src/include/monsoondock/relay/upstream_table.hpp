#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>
#include <monsoondock/hostlimits/host_limit.hpp>
#include <monsoondock/hostpace/pace_state.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>

namespace monsoondock::relay {

/// Load and health of an upstream, from the traffic of this daemon and the
/// reports of its peers.
struct upstream_state
{
    /// Requests that this daemon has in progress there.
    unsigned in_flight_ = 0;
    /// Requests that each peer last reported to have in progress there.
    std::map<base::daemon_id, unsigned> peer_loads_;
    /// When this daemon last received a response or part of one.
    base::time_point last_progress_;
    /// When a peer last reported that the upstream responds to it.
    base::time_point confirmed_by_peer_at_;
    /// When peers were last asked whether the upstream responds to them.
    base::time_point peers_asked_at_;
    /// Until this time the upstream counts as unhealthy and is used only when
    /// there is no other.
    base::time_point unhealthy_until_;
    /// True while this daemon's link to the upstream is cut.
    bool link_cut_ = false;
    /// True once a response has said that the upstream is leaving.
    bool leaving_ = false;
    /// Until this time the upstream wants no requests of this daemon.
    base::time_point paused_until_;
    /// Limit of the requests that the upstream accepts.
    hostlimits::host_limit limit_;
    /// Until this time the upstream is cold; unset when it has not been lately.
    base::time_point cold_until_;
    /// Limit of the requests that the upstream accepts while it is cold. In
    /// force beside limit_; either may end before the other.
    hostlimits::host_limit cold_limit_;
    /// Process of the upstream that leaving_, paused_until_ and limit_ are
    /// about.
    std::int64_t process_start_ms_ = 0;
    /// When the host was first missing in the list; unset while it is listed.
    base::time_point unlisted_since_;
    /// Moving average of the time between two events of a stream; 0 before the
    /// first measurement.
    double event_interval_ms_ = 0;
    /// Learned pace and capacity; used with proxy_config::learned_capacity_.
    hostpace::pace_state pace_;
};


/// Time for which it is remembered that a host which is not listed any longer
/// was leaving, paused or limited.
inline constexpr std::chrono::minutes unlisted_memory{10};


/// Load and health of all upstreams, by host.
class upstream_table
{
public:
    /// Returns the state of a host, creating it if necessary.
    upstream_state& state_of(const base::host_id& host)
    {
        return states_[host];
    }


    /// Returns the state of a host, or null when there is none.
    const upstream_state* find(const base::host_id& host) const
    {
        const auto found = states_.find(host);
        return found == states_.end() ? nullptr : &found->second;
    }


    /// Replaces the numbers of requests that a peer has in progress, by host.
    void set_peer_loads(
        const base::daemon_id& peer,
        const std::unordered_map<base::host_id, unsigned>& loads);


    /// Returns the number of requests that this daemon has in progress, by
    /// host.
    std::unordered_map<base::host_id, unsigned> local_loads() const;


    /// Returns the states by host.
    std::unordered_map<base::host_id, upstream_state>& states()
    {
        return states_;
    }


    /// Records the hosts whose links to this daemon are cut; those to all
    /// others are not.
    void set_cut_links(const std::set<base::host_id>& hosts);


    /// Forgets that an upstream was leaving, paused or limited when it is
    /// another process by now. Returns true when an earlier process of it was
    /// known.
    bool
    detect_restart(const base::host_id& host, std::int64_t process_start_ms);


    /// Removes hosts that are not listed and have no request of this daemon in
    /// progress. What a host has said of itself is kept for unlisted_memory:
    /// its entry may lapse and come back while its process goes on.
    void keep_only(
        const std::unordered_map<base::host_id, bool>& listed,
        base::time_point now);

private:
    std::unordered_map<base::host_id, upstream_state> states_;
};


/// Returns the number of requests in progress at an upstream, over all daemons.
unsigned total_load(const upstream_state& s) noexcept;

} // namespace monsoondock::relay

#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace monsoondock::relay {

/// What one daemon knows of an upstream from its own traffic and its peers'.
struct upstream_state
{
    /// Requests that this daemon has there.
    unsigned in_flight_ = 0;
    /// Requests that each peer has there, as it last told.
    std::map<base::daemon_id, unsigned> peers_;
    /// When an answer, or a part of one, last came from there.
    base::time_point last_progress_;
    /// When a peer last told that the upstream answers it.
    base::time_point heard_by_peer_;
    /// When peers were last asked whether it answers them.
    base::time_point asked_at_;
    /// Nothing is sent there before this time unless nothing else is left.
    base::time_point unhealthy_until_;
    /// Mean time between events, 0 before the first measurement.
    double event_interval_ms_ = 0;
};


/// States of all upstreams, by host.
class upstream_board
{
public:
    /// Returns the state of a host, new when nothing is known.
    upstream_state& of(const base::host_id& host)
    {
        return states_[host];
    }


    /// Returns the state of a host, or null when nothing is known.
    const upstream_state* find(const base::host_id& host) const
    {
        const auto found = states_.find(host);
        return found == states_.end() ? nullptr : &found->second;
    }


    /// Replaces what a peer told of its requests in progress.
    void set_peer_loads(
        const base::daemon_id& peer,
        const std::unordered_map<base::host_id, unsigned>& loads);


    /// Returns this daemon's requests in progress by host.
    std::unordered_map<base::host_id, unsigned> own_loads() const;


    /// Forgets hosts that are not listed and have no request in progress.
    void keep_only(const std::unordered_map<base::host_id, bool>& listed);

private:
    std::unordered_map<base::host_id, upstream_state> states_;
};


/// Returns the requests in progress at an upstream over all daemons.
unsigned total_load(const upstream_state& s) noexcept;

} // namespace monsoondock::relay

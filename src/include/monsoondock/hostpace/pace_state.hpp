#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>
#include <monsoondock/hostpace/pace_sums.hpp>

#include <map>

namespace monsoondock::hostpace {

/// Evidence with the time as of which it counts.
struct dated_sums
{
    pace_sums sums_;
    base::time_point at_;
};


/// Pace of an upstream as learned from its responses, to this daemon and to its
/// peers.
struct pace_state
{
    /// Measured by this daemon.
    dated_sums own_;
    /// Reported by peers, by the name under which they were reported.
    std::map<base::daemon_id, dated_sums> peers_;
    /// Binary logarithm of the pace factor in force: 0 for the expected pace, 2
    /// for four times slower.
    double log_factor_ = 0;
    /// Pace factor in relation to the other upstreams of the model; see
    /// compare.
    double relative_ = 1;
    /// Learned part of the slots, from min_limit_share to 1.
    double limit_share_ = 1;
    base::time_point updated_at_;
    /// When the process was seen to have been restarted; unset otherwise.
    base::time_point restarted_at_;
    /// When a probe was last considered, or evidence last made it unnecessary.
    base::time_point probe_considered_at_;
    /// True from the time at which relative_ reaches slow_factor until it is
    /// below normal_factor.
    bool slow_ = false;
    /// True when the latest sample of this daemon was an outlier.
    bool outlier_ = false;
};


/// Relative pace from which an upstream counts as slow, and below which it does
/// no longer.
inline constexpr double slow_factor = 1.5;
inline constexpr double normal_factor = 1.25;

/// Range of the pace factor.
inline constexpr double max_factor = 16;
inline constexpr double min_factor = 0.25;

/// Smallest part of the slots that is learned as the limit of an upstream.
inline constexpr double min_limit_share = 0.25;

/// Time over which the limit of a restarted upstream grows to what it was.
inline constexpr std::chrono::milliseconds slow_start_time{2000};

/// Mean time between probes of a slow upstream by all daemons together.
inline constexpr std::chrono::milliseconds probe_period{500};


/// One measurement.
struct pace_sample
{
    /// Requests in progress at the upstream, this one included.
    unsigned load_ = 1;
    unsigned slots_ = 1;
    fractional_ms observed_{0};
    fractional_ms expected_{0};
};


/// Records a measurement of this daemon. It is ignored when nothing was
/// expected. A single outlier, as a lost packet or a pause of this daemon
/// causes it, counts in part only.
void add_sample(pace_state& s, const pace_sample& sample, base::time_point now);


/// Replaces the evidence that was reported under a name.
void set_peer_sums(
    pace_state& s,
    const base::daemon_id& source,
    const pace_sums& sums,
    base::time_point now);


/// Returns the evidence of this daemon as it counts now; without any weight
/// when it is too old.
pace_sums own_sums(const pace_state& s, base::time_point now);


/// Moves the pace factor and the limit towards what the evidence shows, at a
/// bounded rate; without evidence back to the expected pace. To be called
/// several times a second.
void update(pace_state& s, base::time_point now);


/// Returns the pace factor in force: 1 for the expected pace, 4 for four times
/// slower.
double factor(const pace_state& s) noexcept;


/// Returns the number of requests up to which the upstream is expected to keep
/// its pace, at most its slots.
double limit(const pace_state& s, unsigned slots, base::time_point now);


/// Forgets what was learned of an earlier process of the upstream.
void restart(pace_state& s, base::time_point now);


/// Returns true when peers are to be sent the evidence of this daemon: the
/// relative pace differs from 1 by more than a quarter.
bool must_report(const pace_state& s) noexcept;


/// Returns true when a request may be spent to find out whether a slow upstream
/// has recovered: there is no recent evidence, and a draw succeeds whose chance
/// grows with the time since the last one, so that all daemons together probe
/// about once in probe_period. random is uniformly distributed in [0, 1).
bool take_probe(
    pace_state& s, unsigned daemons, double random, base::time_point now);

} // namespace monsoondock::hostpace

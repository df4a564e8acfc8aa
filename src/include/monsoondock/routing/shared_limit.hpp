#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>
#include <monsoondock/routing/gcra.hpp>

#include <chrono>
#include <cstdint>
#include <map>

namespace monsoondock::routing {

/// What a daemon tells the others of one workspace's use of a limit.
struct demand_report
{
    base::daemon_id daemon_;
    /// Requests asked for, in units a second.
    double demand_ = 0;
    /// Requests allowed since the daemon started.
    std::uint64_t allowed_ = 0;
};


/// How a limit is shared.
struct shared_limit_options
{
    /// Time over which demand is measured.
    std::chrono::milliseconds window_{500};
    /// Part of the rate that is spread over all daemons alike, so that demand
    /// can appear anywhere.
    double even_share_ = 0.02;
    /// Time in which an error of the total is made good.
    std::chrono::milliseconds recovery_{2000};
    /// Largest total error that is made good, as time's worth of the rate.
    std::chrono::milliseconds max_credit_{2000};
    /// Age at which the report of a daemon is dropped.
    std::chrono::milliseconds report_age_{5000};
    std::chrono::milliseconds burst_{200};
};


/// One workspace's rate limit at one daemon. The daemons share the rate by
/// demand and together correct what they allowed too much or too little. A
/// daemon that hears nobody allows its even part of the rate.
class shared_limit
{
public:
    shared_limit(
        base::daemon_id self,
        double per_second,
        unsigned daemons,
        base::time_point now,
        shared_limit_options sharing = {});


    /// Asks to run one request. Returns zero when it may run, else when to
    /// come back.
    std::chrono::nanoseconds take(base::time_point now);


    /// Takes the report of another daemon.
    void receive_report(const demand_report& report, base::time_point now);


    /// Returns the report to send. Call it every 100 ms to 1 s.
    demand_report report(base::time_point now);


    /// The number of daemons that take part has changed.
    void set_daemons(unsigned daemons);

private:
    struct peer
    {
        demand_report report_;
        base::time_point heard_at_;
    };

    void measure_demand(base::time_point now);
    void drop_old_peers(base::time_point now);
    void settle_credit(base::time_point now);
    double own_share() const;

    base::daemon_id self_;
    double per_second_;
    unsigned daemons_;
    shared_limit_options sharing_;
    gcra limiter_;
    std::map<base::daemon_id, peer> peers_;
    std::uint64_t asked_ = 0;
    std::uint64_t allowed_ = 0;
    double demand_ = 0;
    base::time_point window_start_;
    // Requests that all daemons could still have allowed; below zero when they
    // allowed too many.
    double credit_ = 0;
    // Requests that all daemons allowed since credit_at_.
    std::uint64_t total_seen_ = 0;
    base::time_point credit_at_;
};

} // namespace monsoondock::routing

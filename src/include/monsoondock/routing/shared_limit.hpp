#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>
#include <monsoondock/routing/gcra.hpp>

#include <chrono>
#include <cstdint>
#include <map>

namespace monsoondock::routing {

/// Report of a daemon to its peers about one workspace's use of a rate limit.
struct demand_report
{
    base::daemon_id daemon_;
    /// Rate of incoming requests, in requests per second.
    double demand_ = 0;
    /// Requests allowed since the daemon started.
    std::uint64_t allowed_ = 0;
};


/// Options for sharing a rate limit between daemons.
struct shared_limit_options
{
    /// Interval over which demand is measured.
    std::chrono::milliseconds demand_window_{500};
    /// Fraction of the rate that is divided evenly between all daemons, so that
    /// a daemon whose demand just started can admit requests.
    double even_share_ = 0.02;
    /// Time over which an error of the total rate is corrected.
    std::chrono::milliseconds correction_time_{2000};
    /// Largest total error that is corrected, as a duration at the full rate.
    std::chrono::milliseconds max_credit_{2000};
    /// Age above which the report of a daemon is discarded.
    std::chrono::milliseconds max_report_age_{5000};
    /// Burst allowance of the limiter at each daemon.
    std::chrono::milliseconds burst_{200};
};


/// Rate limit of one workspace at one daemon. The daemons divide the rate by
/// demand and jointly compensate when the total that they allowed was above or
/// below it. A daemon without reports from peers allows an even share of the
/// rate.
class shared_limit
{
public:
    shared_limit(
        base::daemon_id self,
        double per_second,
        unsigned daemons,
        base::time_point now,
        shared_limit_options options = {});


    /// Takes one request from the limit. Returns zero when the request is
    /// allowed, else the time until a retry.
    std::chrono::nanoseconds take(base::time_point now);


    /// Processes the report of another daemon.
    void receive_report(const demand_report& report, base::time_point now);


    /// Updates the daemon's share of the rate and returns the report to send to
    /// its peers. Must be called every 100 ms to 1 s.
    demand_report report(base::time_point now);


    /// Sets the number of daemons that share the limit.
    void set_daemons(unsigned daemons);

private:
    struct peer
    {
        demand_report report_;
        base::time_point received_at_;
    };

    void measure_demand(base::time_point now);
    void drop_expired_peers(base::time_point now);
    void update_credit(base::time_point now);
    double own_share() const;

    base::daemon_id self_;
    double per_second_;
    unsigned daemons_;
    shared_limit_options options_;
    gcra limiter_;
    std::map<base::daemon_id, peer> peers_;
    std::uint64_t requested_ = 0;
    std::uint64_t allowed_ = 0;
    double demand_ = 0;
    base::time_point window_start_;
    // Requests that the rate permits and that all daemons together have not
    // allowed yet; negative when they allowed too many.
    double credit_ = 0;
    // Requests that all daemons allowed since credit_updated_at_.
    std::uint64_t total_allowed_ = 0;
    base::time_point credit_updated_at_;
};

} // namespace monsoondock::routing

#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/crashes/part_report.hpp>
#include <monsoondock/hostpace/pace_report.hpp>
#include <monsoondock/relay/crash_tracker.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace monsoondock::relay {

/// Demand for one model over a period.
struct model_demand
{
    std::uint64_t requests_ = 0;
    /// Sum of the prompt tokens, and of the output tokens as estimated by
    /// callers.
    double prompt_tokens_ = 0;
    double answer_tokens_ = 0;
};

/// Demand by deployment and model.
using demand_table =
    std::map<std::pair<base::deployment_id, std::string>, model_demand>;


/// What an upstream has said of the requests that it accepts.
struct host_limit_report
{
    base::host_id host_;
    /// Process of the host; see upstream::process_start_ms_.
    std::int64_t process_start_ms_ = 0;
    /// Requests a second of all daemons; 0 for no limit.
    double per_second_ = 0;
    /// Time since the host said so.
    std::chrono::milliseconds age_{0};

    friend bool
    operator==(const host_limit_report&, const host_limit_report&) = default;
};


/// What the traffic thread has to tell other daemons.
struct traffic_stats
{
    /// Requests in progress by host.
    std::unordered_map<base::host_id, unsigned> loads_;
    /// Demand since the previous reading.
    demand_table demand_;
    /// Parts of prompts of which peers are to be told now, and all that is
    /// known of such parts; see crashes::part_tracker.
    crashes::part_report part_report_;
    crashes::part_report part_state_;
    /// Limits that upstreams have named lately, and those that have ended.
    std::vector<host_limit_report> host_limits_;
    /// Upstreams that accepted a connection since the previous reading.
    std::set<base::host_id> connected_;
    /// Evidence of this daemon on upstreams whose pace differs from that of
    /// others; empty unless capacity is learned.
    std::vector<hostpace::pace_report> paces_;
};


/// Why an upstream was found unhealthy.
enum class unhealthy_reason
{
    /// No daemon has received data from it for too long.
    silent,
    /// No connection could be established.
    unreachable,
    /// It rejected a request because another host of its group has failed.
    group_failed
};


/// Report that an upstream is unhealthy.
struct unhealthy_report
{
    base::host_id host_;
    unhealthy_reason reason_ = unhealthy_reason::silent;
    /// Address of the failed host as "ip:port", when the upstream named a host
    /// other than itself; otherwise empty.
    std::string failed_address_;
    /// True when other upstreams respond to this daemon at the same time, so
    /// that its links are not cut in general.
    bool others_respond_ = false;
};


/// Time in which the cause of a lost response is to be found out; see
/// proxy_callbacks::on_connection_lost_. The loss then counts as a possible
/// crash.
inline constexpr std::chrono::milliseconds max_loss_check_time{2000};


/// Callbacks of the traffic thread. They run on that thread and must return
/// quickly, passing the work on to another thread. Empty ones are not called.
struct proxy_callbacks
{
    /// Called when an upstream was found unhealthy.
    std::function<void(const unhealthy_report&)> on_unhealthy_;
    /// Called when this daemon has received nothing from an upstream for too
    /// long; peers should be asked whether it responds to them.
    std::function<void(const base::host_id&)> on_no_progress_;
    /// Called when a response of an upstream was lost and it is not known
    /// whether the upstream crashed or the link to it was cut;
    /// reverse_proxy::resolve_losses is to be called.
    std::function<void(const base::host_id&)> on_connection_lost_;
    /// Called once when a response says that an upstream is leaving; peers
    /// should be told.
    std::function<void(const base::host_id&)> on_leaving_;
    /// Called with reports that peers should also record.
    std::function<void(const crash_report&)> on_crash_;
    /// Called with a report on parts of prompts that peers should be sent at
    /// once.
    std::function<void(const crashes::part_report&)> on_part_report_;
    /// Called when a response shows that the limit of an upstream has changed;
    /// peers should be told.
    std::function<void(const host_limit_report&)> on_limit_;
    /// Called with evidence of this daemon on upstreams that it has found to be
    /// slow; peers should be told at once.
    std::function<void(const std::vector<hostpace::pace_report>&)>
        on_slow_upstreams_;
    /// Called when a peer reports an upstream as unhealthy that responds to
    /// this daemon.
    std::function<void(const base::host_id&)> on_responsive_;
};


/// Returns the name of a reason as it appears in logs.
const char* to_string(unhealthy_reason reason) noexcept;

} // namespace monsoondock::relay

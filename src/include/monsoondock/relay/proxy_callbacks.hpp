#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/relay/crash_tracker.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace monsoondock::relay {

/// Work that callers asked of a model within some time.
struct model_demand
{
    std::uint64_t requests_ = 0;
    /// Tokens of prompts, and of answers as callers estimate them.
    double prompt_tokens_ = 0;
    double answer_tokens_ = 0;
};

/// Work by deployment and model.
using demand_table =
    std::map<std::pair<base::deployment_id, std::string>, model_demand>;


/// Returns how often daemons tell each other their requests in progress: with
/// few daemons about a sixth of the time that a stream takes; with more, such
/// that what a daemon sends grows by the root of their number.
std::chrono::milliseconds load_report_period(unsigned daemons);


/// What the traffic thread has in progress and was asked for.
struct traffic_stats
{
    /// Requests in progress by host.
    std::unordered_map<base::host_id, unsigned> loads_;
    /// Work asked for since the last reading.
    demand_table demand_;
};


/// Why traffic makes a daemon doubt an upstream.
enum class unhealthy_reason
{
    /// All of its streams stood still for too long.
    silent,
    /// No connection could be opened.
    unreachable,
    /// It said that a host of its group keeps it from serving.
    group_failed
};


/// What traffic tells about an upstream.
struct unhealthy_report
{
    base::host_id host_;
    unhealthy_reason reason_ = unhealthy_reason::silent;
    /// Address of the host at fault, "ip:port", when the upstream named one
    /// other than itself; else empty.
    std::string failed_address_;
};


/// What the traffic thread reports. The functions run on the traffic thread
/// and must only hand over to another one.
struct proxy_callbacks
{
    std::function<void(const unhealthy_report&)> on_unhealthy_;
    /// Nothing has come from an upstream for a while: does any peer hear it?
    std::function<void(const base::host_id&)> on_no_progress_;
    std::function<void(const crash_report&)> on_crash_;
    /// A peer doubts, or asks for, an upstream that answers this daemon.
    std::function<void(const base::host_id&)> on_responsive_;
};


/// Returns the name of a reason as it appears in logs.
const char* to_string(unhealthy_reason reason) noexcept;

} // namespace monsoondock::relay

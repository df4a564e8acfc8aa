#pragma once

#include "exchange.hpp"
#include "possible_crash.hpp"
#include "silent_losses.hpp"

#include <monsoondock/admission/call_time_meter.hpp>
#include <monsoondock/admission/model_admission.hpp>
#include <monsoondock/base/byte_budget.hpp>
#include <monsoondock/crashes/part_tracker.hpp>
#include <monsoondock/hostpace/service_latency.hpp>
#include <monsoondock/relay/arrival_meter.hpp>
#include <monsoondock/relay/crash_tracker.hpp>
#include <monsoondock/relay/link_view.hpp>
#include <monsoondock/relay/reverse_proxy.hpp>
#include <monsoondock/relay/upstream_table.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace monsoondock::relay::pvt {

/// Memory for the responses that are received at the same time, without those
/// that are smaller than the second number. A large response that does not fit
/// is not received to its end.
inline constexpr std::size_t max_response_memory_bytes =
    std::size_t{48} * 1024 * 1024;
inline constexpr std::size_t small_response_bytes = std::size_t{32} * 1024;


/// Memory for the request bodies that are held at the same time, until their
/// responses have ended, without those that are smaller than the second number.
/// A request whose body does not fit is refused.
inline constexpr std::size_t max_request_memory_bytes =
    std::size_t{24} * 1024 * 1024;
inline constexpr std::size_t small_request_bytes = std::size_t{16} * 1024;


/// State of the traffic thread. Other threads may access only the atomic
/// members.
struct proxy_thread
{
    proxy_thread(
        proxy_config config,
        proxy_callbacks callbacks,
        metrics::registry& metrics)
        : config_(std::move(config)), callbacks_(std::move(callbacks)),
          metrics_(metrics), acceptor_(context_), detour_acceptor_(context_),
          sweep_timer_(context_), random_(std::random_device()())
    {}

    proxy_config config_;
    proxy_callbacks callbacks_;
    metrics::registry& metrics_;
    base::byte_budget response_memory_{
        max_response_memory_bytes, small_response_bytes, 0};
    base::byte_budget request_memory_{
        max_request_memory_bytes, small_request_bytes, 0};
    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor acceptor_;
    /// Accepts requests that other daemons pass on.
    boost::asio::ip::tcp::acceptor detour_acceptor_;
    boost::asio::steady_timer sweep_timer_;
    std::mt19937_64 random_;
    view_pointer view_ = std::make_shared<serving_view>();
    upstream_table upstream_table_;
    /// Daemons that serve requests for this one, by their names.
    upstream_table helper_table_;
    link_view_pointer links_ = std::make_shared<link_view>();
    /// Number of requests of other daemons in progress.
    std::size_t detours_ = 0;
    crash_tracker crash_tracker_;
    crashes::part_tracker part_tracker_;
    connection_pool upstream_pool_;
    /// Losses whose cause the control thread is finding out.
    std::vector<possible_crash> possible_crashes_;
    /// Requests without a response whose upstreams are watched, in the order in
    /// which they were given up.
    std::deque<silent_loss> silent_losses_;
    std::unordered_map<base::deployment_id, retry_limiter> retry_limiters_;
    demand_table demand_;
    /// Upstreams that accepted a connection since the latest reading.
    std::set<base::host_id> connected_;
    std::map<std::pair<base::deployment_id, std::string>, arrival_meter>
        arrival_meters_;
    /// Admission by deployment and model, of those that have upstreams.
    std::map<
        std::pair<base::deployment_id, std::string>,
        admission::model_admission>
        admissions_;
    /// Times that plain services take for a call.
    std::map<base::deployment_id, admission::call_time_meter> call_times_;
    /// When a load report of a peer was last received.
    base::time_point peer_loads_at_;
    /// Latencies of services without an engine.
    std::unordered_map<base::deployment_id, hostpace::service_latency>
        service_latencies_;
    /// Upstreams that the metrics show as slow.
    std::set<base::host_id> slow_upstreams_;
    /// When paces were last updated, and peers last told of a slow upstream.
    base::time_point paces_updated_at_;
    base::time_point slow_reported_at_;
    std::unordered_set<std::shared_ptr<caller_connection>> caller_connections_;
    std::unordered_set<std::shared_ptr<exchange>> exchanges_;
    /// Set when the daemon is shutting down.
    std::optional<drain_schedule> drain_;
    /// True when requests in progress are aborted.
    bool aborting_ = false;
    /// Number of requests in progress.
    std::atomic<std::uint64_t> active_{0};
    /// Number of connections of callers that are not idle, as of the latest
    /// sweep.
    std::atomic<std::uint64_t> busy_connections_{0};
    /// Number of connections that were accepted and whose session has not
    /// ended.
    std::atomic<std::uint64_t> open_connections_{0};
    /// True when the listener is closed and idle connections are being closed.
    std::atomic<bool> closing_{false};
};


/// Returns a uniformly distributed random number in [0, 1).
double random_fraction(proxy_thread& t);


/// Returns the retry limiter of a deployment, creating it if necessary.
retry_limiter&
retry_limiter_of(proxy_thread& t, const base::deployment_id& deployment);


/// Starts the periodic sweep that stops waits which have exceeded their limit.
/// It runs until the thread ends.
void start_sweep(proxy_thread& t);


/// Marks an upstream unhealthy and reports it to the control thread.
void report_unhealthy(proxy_thread& t, unhealthy_report report);

} // namespace monsoondock::relay::pvt

#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/metrics/registry.hpp>
#include <monsoondock/relay/admission_rule.hpp>
#include <monsoondock/relay/drain_schedule.hpp>
#include <monsoondock/relay/header_names.hpp>
#include <monsoondock/relay/link_view.hpp>
#include <monsoondock/relay/proxy_callbacks.hpp>
#include <monsoondock/relay/retry_limiter.hpp>
#include <monsoondock/relay/serving_view.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace monsoondock::relay {

/// Configuration of a reverse proxy.
struct proxy_config
{
    header_names headers_;
    base::daemon_id daemon_;
    /// Data centre of this daemon, whose upstreams are preferred.
    base::data_centre_id data_centre_;
    retry_limit retry_limit_;
    /// Maximum number of concurrent connections of callers.
    std::size_t max_connections_ = 1500;
    /// Minimum time after which a stream is ended whose upstream sends bytes
    /// but no event. Callers regard a pause of 0.3 s between events as late; an
    /// upstream that is stopped for some seconds may go on.
    std::chrono::milliseconds min_stall_time_{5000};
    /// Time after which a caller that reads nothing of its response is
    /// disconnected. A reader is seen to read only when it has made room for a
    /// segment, 64 KiB over loopback: a caller of 5 KB/s is never taken for one
    /// that reads nothing.
    std::chrono::milliseconds caller_stall_limit_{15000};
    admission_rule admission_ = admission_rule::queue;
    /// True when requests are distributed by the learned pace and capacity of
    /// upstreams, false when by their slots.
    bool learned_capacity_ = false;
};


/// HTTP reverse proxy that accepts requests of callers and relays them to
/// upstreams. It runs on a thread of its own, the traffic thread; all functions
/// may be called from any thread.
class reverse_proxy
{
public:
    reverse_proxy(
        proxy_config config,
        proxy_callbacks callbacks,
        metrics::registry& metrics);

    reverse_proxy(const reverse_proxy&) = delete;
    reverse_proxy& operator=(const reverse_proxy&) = delete;

    /// Stops the traffic thread; requests in progress are aborted.
    ~reverse_proxy();


    /// Binds the address and starts the traffic thread. Fails with problem code
    /// unavailable when it cannot listen on the address.
    base::result<base::done>
    start(const boost::asio::ip::tcp::endpoint& address);


    /// Binds another address, at which requests are accepted that other daemons
    /// pass on because they have no links to the upstreams. To be called before
    /// start. Fails with problem code unavailable when it cannot listen there.
    base::result<base::done>
    accept_detours(const boost::asio::ip::tcp::endpoint& address);


    /// Replaces the state of this daemon's links to the upstreams.
    void publish_links(link_view_pointer links);


    /// Ends the wait for the cause of the responses that were lost at a host;
    /// see proxy_callbacks::on_connection_lost_. They are counted as possible
    /// crashes unless the link to the host was cut.
    void resolve_losses(base::host_id host, bool link_cut);


    /// Replaces the view from which requests are routed.
    void publish(view_pointer view);


    /// Replaces the numbers of requests that a peer has in progress, by host. A
    /// sum over several peers may be given under a name of its own.
    void set_peer_loads(
        base::daemon_id peer,
        std::unordered_map<base::host_id, unsigned> loads);


    /// Handles a peer's report that an upstream is unhealthy. When the upstream
    /// has responded to this daemon recently, calls on_responsive_ instead.
    void mark_unhealthy(base::host_id host);


    /// Marks an upstream healthy, because it responded to a peer or to the
    /// control thread.
    void mark_healthy(base::host_id host);


    /// Sends an upstream nothing more, because its process said to a peer that
    /// it is leaving.
    void mark_leaving(base::host_id host, std::int64_t process_start_ms);


    /// Records a peer's report of a crashed upstream or a completed request.
    void add_crash_report(crash_report report);


    /// Records what a peer, or the leader record, says about parts of prompts
    /// under which upstreams crash.
    void apply_part_report(crashes::part_report report);


    /// Records what a peer has heard of the limit of an upstream.
    void apply_host_limit(host_limit_report report);


    /// Records what peers have measured at upstreams, in place of what was
    /// recorded under the same name before. Ignored unless capacity is learned.
    void apply_pace_reports(
        base::daemon_id source, std::vector<hostpace::pace_report> reports);


    /// Calls done on the traffic thread with the requests in progress, the
    /// demand since the previous call and what peers are to be told.
    void take_traffic_stats(std::function<void(traffic_stats)> done);


    /// Calls responsive, on the traffic thread, if the upstream has responded
    /// to this daemon recently.
    void
    report_if_responsive(base::host_id host, std::function<void()> responsive);


    /// Returns the number of requests in progress.
    std::uint64_t active_requests() const noexcept;


    /// Returns the number of connections on which a caller is sending a request
    /// or waits for the rest of a response.
    std::uint64_t busy_connections() const noexcept;


    /// Starts a graceful shutdown. Requests that might not be finished by its
    /// end are rejected with status 503 without being executed.
    void drain(const drain_schedule& schedule);


    /// Stops listening and closes idle connections. Requests that have arrived
    /// on any connection before are still answered.
    void close_idle_connections();


    /// Returns true when close_idle_connections has been called and all
    /// connections of callers have ended.
    bool is_closed() const noexcept;


    /// Aborts requests in progress, each with a last response if none has
    /// begun.
    void abort_requests();


    /// Stops the traffic thread; requests in progress are aborted.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace monsoondock::relay

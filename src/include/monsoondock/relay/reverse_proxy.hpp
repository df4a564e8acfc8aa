#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/metrics/registry.hpp>
#include <monsoondock/relay/header_names.hpp>
#include <monsoondock/relay/proxy_callbacks.hpp>
#include <monsoondock/relay/retry_limiter.hpp>
#include <monsoondock/relay/serving_view.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace monsoondock::relay {

/// What a reverse_proxy needs to run.
struct proxy_config
{
    header_names headers_;
    base::data_centre_id data_centre_;
    retry_limit retry_limit_;
    /// Connections of callers that are held at once.
    std::size_t max_connections_ = 1500;
};


/// Takes requests of callers on its own thread and relays them to upstreams.
/// All functions may be called from any thread.
class reverse_proxy
{
public:
    reverse_proxy(
        proxy_config config,
        proxy_callbacks callbacks,
        metrics::registry& metrics);

    reverse_proxy(const reverse_proxy&) = delete;
    reverse_proxy& operator=(const reverse_proxy&) = delete;

    /// Stops at once.
    ~front();


    /// Listens and begins. Problem code unavailable: the address can't be
    /// bound.
    base::result<base::done>
    start(const boost::asio::ip::tcp::endpoint& address);


    /// Replaces what requests are decided from.
    void publish(view_pointer view);


    /// Takes what a peer told of its requests in progress.
    void set_peer_loads(
        base::daemon_id peer,
        std::unordered_map<base::host_id, unsigned> loads);


    /// A peer doubts an upstream.
    void mark_unhealthy(base::host_id host);


    /// A peer, or an answer to the control thread, shows that an upstream
    /// works.
    void mark_healthy(base::host_id host);


    /// A peer reports that a request brought an upstream down.
    void add_crash_report(crash_report report);


    /// Calls done on the traffic thread with what is in progress, and with
    /// what was asked for since the last call.
    void take_traffic_stats(std::function<void(traffic_stats)> done);


    /// A peer asks whether an upstream answers this daemon.
    void report_if_responsive(base::host_id host);


    /// Returns the number of requests in progress.
    std::uint64_t active_requests() const noexcept;


    /// Refuses all further requests, truthfully as not run.
    void refuse_new() noexcept;


    /// Ends the thread; requests in progress are cut.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace monsoondock::relay

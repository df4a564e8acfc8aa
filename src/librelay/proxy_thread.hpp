#pragma once

#include "exchange.hpp"

#include <monsoondock/relay/arrival_meter.hpp>
#include <monsoondock/relay/crash_tracker.hpp>
#include <monsoondock/relay/reverse_proxy.hpp>
#include <monsoondock/relay/upstream_board.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <random>
#include <unordered_map>
#include <unordered_set>

namespace monsoondock::relay::pvt {

/// State of the traffic thread; no other thread touches it, but for the
/// atomic members.
struct proxy_thread
{
    proxy_thread(
        proxy_config config,
        proxy_callbacks callbacks,
        metrics::registry& metrics)
        : config_(std::move(config)), callbacks_(std::move(callbacks)),
          metrics_(metrics), acceptor_(context_), sweep_timer_(context_),
          random_(std::random_device()())
    {}

    proxy_config config_;
    proxy_callbacks callbacks_;
    metrics::registry& metrics_;
    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer sweep_timer_;
    std::mt19937_64 random_;
    view_pointer view_ = std::make_shared<serving_view>();
    upstream_board board_;
    crash_tracker crashes_;
    link_pool pool_;
    std::unordered_map<base::deployment_id, retry_limiter> retry_limiters_;
    demand_table demand_;
    std::map<std::pair<base::deployment_id, std::string>, arrival_meter>
        arrivals_;
    std::unordered_set<std::shared_ptr<caller_link>> callers_;
    std::unordered_set<std::shared_ptr<exchange>> exchanges_;
    std::atomic<std::uint64_t> active_{0};
    std::atomic<bool> refusing_{false};
};


/// Returns a number from 0 up to, but not including, 1.
double draw(proxy_thread& t);


/// Returns the retry window of a deployment.
retry_limiter&
retry_limiter_of(proxy_thread& t, const base::deployment_id& deployment);


/// Stops waits that have gone on for too long, at a fixed rate, until the
/// thread ends.
void start_sweep(proxy_thread& t);


/// Doubts an upstream and tells the control thread.
void report_unhealthy(proxy_thread& t, const unhealthy_report& d);

} // namespace monsoondock::relay::pvt

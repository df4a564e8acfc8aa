#pragma once

#include "caller_connection.hpp"
#include "live_attempts.hpp"
#include "request_context.hpp"
#include "request_limiters.hpp"
#include "upstream_pool.hpp"

#include <monsoondock/base/byte_budget.hpp>
#include <monsoondock/platform/http_client.hpp>
#include <monsoondock/routing/retry_budget.hpp>
#include <monsoondock/routing/router.hpp>
#include <monsoondock/traffic/server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <random>
#include <set>

namespace monsoondock::traffic::pvt {

/// State shared by the traffic threads.
struct server_state
{
    std::atomic<std::uint64_t> connections_{0};
    std::atomic<std::uint64_t> requests_{0};
    /// Threads that still listen.
    std::atomic<std::uint64_t> listeners_{0};
    /// True when connections are closed after their next response.
    std::atomic<bool> closing_{false};
    /// True when requests in progress are being ended.
    std::atomic<bool> aborting_{false};
    /// When the daemon exits at the latest, after drain().
    std::atomic<base::time_point> exit_at_{base::time_point::max()};
    live_attempts attempts_;
    request_limiters limiters_;
};


/// Retries added to the budget by each successful completion.
inline constexpr double retries_per_success = 0.1;
/// Maximum retry budget of a thread; allows the streams of a lost group to
/// resume on other groups.
inline constexpr double max_saved_retries = 100;


/// Memory of a thread for the bodies that it receives at the same time, without
/// those that are smaller than the second number.
inline constexpr std::size_t max_response_memory_bytes =
    std::size_t{24} * 1024 * 1024;
inline constexpr std::size_t small_response_bytes = std::size_t{32} * 1024;


/// State of one traffic thread. Members other than references are used only by
/// that thread.
struct traffic_thread
{
    traffic_thread(server_options& options, server_state& shared, unsigned seed)
        : options_(options), shared_(shared), random_(seed),
          router_(
              routing::routing_policy::prefix_affinity,
              options.data_centre_,
              seed),
          store_(
              context_.get_executor(),
              options.claims_.platform_addresses_,
              options.claims_.platform_timeout_)
    {}

    server_options& options_;
    server_state& shared_;
    base::byte_budget response_memory_{
        max_response_memory_bytes, small_response_bytes, 0};
    /// Open connections and the requests being served. The sessions remove
    /// theirs when context_ destroys them, so these outlive it.
    std::set<caller_connection*> callers_;
    std::set<const request_context*> requests_;
    boost::asio::io_context context_{1};
    /// Cancelled when the requests in progress are to be ended.
    boost::asio::steady_timer abort_{
        context_, boost::asio::steady_timer::time_point::max()};
    upstream_pool pool_;
    std::mt19937_64 random_;
    /// Chooses the groups of completions.
    routing::router router_;
    /// Remaining retry budget of completions.
    routing::retry_budget retries_{retries_per_success, max_saved_retries};
    /// Client of the platform's store, which holds the claims.
    platform::http_client store_;
};

} // namespace monsoondock::traffic::pvt

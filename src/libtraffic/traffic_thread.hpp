#pragma once

#include "live_attempts.hpp"
#include "request_limiters.hpp"
#include "upstream_pool.hpp"

#include <monsoondock/platform/http_client.hpp>
#include <monsoondock/routing/retry_budget.hpp>
#include <monsoondock/routing/router.hpp>
#include <monsoondock/traffic/server.hpp>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <random>

namespace monsoondock::traffic::pvt {

/// Counts that the traffic threads share.
struct server_counts
{
    std::atomic<std::uint64_t> connections_{0};
    std::atomic<std::uint64_t> requests_{0};
    std::atomic<bool> closing_{false};
    live_attempts attempts_;
    request_limiters limiters_;
};


/// Retries earned by a successful completion.
inline constexpr double RETRY_SHARE = 0.1;
/// Retries that a thread can save up, so that the streams of a lost group can
/// go on elsewhere.
inline constexpr double MAX_SAVED_RETRIES = 100;


/// State of one traffic thread. Only its own thread touches the members that
/// are not shared by reference.
struct traffic_thread
{
    traffic_thread(server_options& parts, server_counts& counts, unsigned seed)
        : parts_(parts), counts_(counts), random_(seed),
          router_(
              routing::routing_policy::prefix_affinity,
              parts.data_centre_,
              seed),
          store_(
              context_.get_executor(),
              parts.claims_.platform_addresses_,
              parts.claims_.platform_timeout_)
    {}

    server_options& parts_;
    server_counts& counts_;
    boost::asio::io_context context_{1};
    upstream_pool pool_;
    std::mt19937_64 random_;
    /// Chooses groups for completions.
    routing::router router_;
    /// Retries of completions that are left.
    routing::retry_budget retries_{RETRY_SHARE, MAX_SAVED_RETRIES};
    /// Store of the claims.
    platform::http_client store_;
};

} // namespace monsoondock::traffic::pvt

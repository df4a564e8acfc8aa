#include "roles.hpp"

#include <monsoondock/settings/api_key_hash.hpp>
#include <monsoondock/traffic/server.hpp>

#include <chrono>
#include <iostream>
#include <thread>

namespace monsoondock::bench {

namespace {

// Far above the throughput of one process, so that the rate limits never apply.
constexpr double unlimited_per_second = 1e7;


std::shared_ptr<traffic::routing_snapshot>
make_snapshot(const bench_options& options)
{
    auto snapshot = std::make_shared<traffic::routing_snapshot>();
    snapshot->ready_ = true;
    snapshot->models_.push_back({"bench"});
    snapshot->workspaces_.push_back(
        {{"bench"},
         {settings::hash_api_key("bench")},
         unlimited_per_second,
         unlimited_per_second});
    traffic::group_row group;
    group.group_.value_ = "bench-1";
    group.deployment_.value_ = "bench";
    group.generation_.value_ = 1;
    group.head_ = options.target_;
    group.fresh_until_ = base::time_point::max();
    group.load_ = std::make_shared<traffic::upstream_load>();
    snapshot->groups_.push_back(std::move(group));
    return snapshot;
}


traffic::limits make_limits()
{
    using namespace std::chrono_literals;
    traffic::limits limits;
    limits.max_body_bytes_ = 1 << 20U;
    limits.max_header_bytes_ = 16384;
    limits.max_connections_ = 10000;
    limits.header_timeout_ = 5s;
    limits.body_timeout_ = 5s;
    limits.idle_timeout_ = 60s;
    limits.connect_timeout_ = 1s;
    limits.upstream_idle_timeout_ = 30s;
    return limits;
}

} // namespace

int run_server(const bench_options& options)
{
    traffic::snapshot_holder snapshots;
    snapshots.publish(make_snapshot(options));
    metrics::registry metrics;
    traffic::server server(
        {snapshots, metrics, make_limits(), nullptr, {}, {}, nullptr});
    const auto started = server.start(options.listen_, 1);
    if (!base::ok(started)) {
        std::cerr << base::to_string(base::error(started)) << '\n';
        return 1;
    }
    std::this_thread::sleep_for(std::chrono::hours(1));
    return 0;
}

} // namespace monsoondock::bench

#pragma once

#include <chrono>
#include <cstdint>

namespace monsoondock::routing_bench {

/// Seed and simulated length of a run.
struct run_options
{
    std::uint64_t seed_ = 1;
    std::chrono::seconds length_{300};
};


/// Prints time to first token and prefix hit rate of each routing policy under
/// each load shape.
void compare_routing(const run_options& options);


/// Prints goodput below, at and above the capacity (up to three times), with
/// and without admission control.
void compare_overload(const run_options& options);


/// Prints the queueing time of a small workspace while a large one sends below
/// and far above the capacity.
void compare_fairness(const run_options& options);


/// Prints the error of a workspace's rate limit while demand moves between
/// daemons.
void compare_limits(const run_options& options);


/// Prints the number of retries, with and without a retry budget, while half of
/// the upstreams fail.
void compare_retries(const run_options& options);

} // namespace monsoondock::routing_bench

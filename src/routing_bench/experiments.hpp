#pragma once

#include <chrono>
#include <cstdint>

namespace monsoondock::routing_bench {

/// Seed and length of a run.
struct run_options
{
    std::uint64_t seed_ = 1;
    std::chrono::seconds length_{300};
};


/// Prints first token times and prefix hits of each policy and load shape.
void compare_routing(const run_options& options);


/// Prints goodput at one and two times the capacity, with and without
/// admission.
void compare_overload(const run_options& options);


/// Prints the wait of a small workspace while a large one floods.
void compare_fairness(const run_options& options);


/// Prints the error of a workspace's rate while demand moves among daemons.
void compare_limits(const run_options& options);


/// Prints retries while half of the upstreams fail.
void compare_retries(const run_options& options);

} // namespace monsoondock::routing_bench

#pragma once

#include <monsoondock/load/arrival.hpp>
#include <monsoondock/load/profile.hpp>

#include <chrono>
#include <cstdint>
#include <vector>

namespace monsoondock::load {

/// Parameters of a load plan.
struct plan_options
{
    profile profile_;
    std::uint64_t seed_ = 1;
    std::size_t workspaces_ = 1;
    /// Requests per second at rate factor 1.
    double base_rate_ = 10.0;
    std::chrono::milliseconds duration_{10000};
    /// Maximum number of requests; later arrivals are dropped.
    std::size_t max_requests_ = 20000;
    /// Number of different prompt prefixes in each workspace. Each session
    /// begins with one of them.
    std::size_t prefixes_ = 8;
    /// Mean number of tokens of an interactive answer; reports have four
    /// times as many.
    std::size_t mean_tokens_ = 16;
};


/// Returns the requests of a run in order of send time. The load is open-loop:
/// arrival times do not depend on earlier answers, and the same options always
/// give the same plan.
std::vector<arrival> make_plan(const plan_options& options);

} // namespace monsoondock::load

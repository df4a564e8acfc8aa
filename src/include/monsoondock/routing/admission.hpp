#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/routing/fair_queue.hpp>

#include <chrono>
#include <cstdint>
#include <random>
#include <variant>

namespace monsoondock::routing {

/// The request may wait in the queue.
struct admitted
{
    std::chrono::milliseconds expected_wait_{0};
};


/// The request would not start in time.
struct refused
{
    std::chrono::milliseconds expected_wait_{0};
    /// When the queue is expected to be short enough, plus a random part that
    /// spreads the returns.
    std::chrono::milliseconds retry_after_{0};
};

/// Outcome of an admission decision.
using admission = std::variant<admitted, refused>;


/// Measures how much work leaves a queue.
class drain_rate
{
public:
    /// Starts with an expected rate in tokens a second.
    explicit drain_rate(double expected);


    /// This much work left the queue now.
    void drained(std::uint32_t cost, base::time_point now);


    /// Returns the rate in tokens a second.
    double per_second() const noexcept
    {
        return rate_;
    }

private:
    double rate_;
    double pending_ = 0;
    base::time_point window_start_;
};


/// Decides whether a request may wait: it may when the work ahead of it is
/// expected to be done before its deadline.
admission decide_admission(
    const fair_queue& queue,
    const queue_item& item,
    double tokens_per_second,
    base::time_point now,
    std::mt19937_64& random);

} // namespace monsoondock::routing

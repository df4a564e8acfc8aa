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


/// The request is refused because it is not expected to start before its
/// deadline.
struct refused
{
    std::chrono::milliseconds expected_wait_{0};
    /// Time until the queue is expected to be short enough, plus random jitter
    /// that spreads the retries.
    std::chrono::milliseconds retry_after_{0};
};

/// Outcome of an admission decision.
using admission = std::variant<admitted, refused>;


/// Measures the rate at which work leaves a queue, as a moving average.
class drain_rate
{
public:
    /// Starts with an expected rate, in tokens per second.
    explicit drain_rate(double expected);


    /// Records that work of the given cost, in tokens, left the queue.
    void drained(std::uint32_t cost, base::time_point now);


    /// Returns the rate, in tokens per second.
    double per_second() const noexcept
    {
        return rate_;
    }

private:
    double rate_;
    double window_cost_ = 0;
    base::time_point window_start_;
};


/// Decides whether a request may wait in the queue. It is admitted when the
/// work ahead of it is expected to be done before its deadline.
admission decide_admission(
    const fair_queue& queue,
    const queue_item& item,
    double tokens_per_second,
    base::time_point now,
    std::mt19937_64& random);

} // namespace monsoondock::routing

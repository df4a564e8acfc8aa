#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <chrono>
#include <optional>

namespace monsoondock::relay::pvt {

/// Bounds how long the responses of a route take, by the longest of those that
/// ended lately.
class longest_response
{
public:
    /// Responses are forgotten after one to two of these periods.
    static constexpr std::chrono::seconds period{60};
    /// With fewer responses there is no bound.
    static constexpr unsigned min_responses = 50;
    /// The bound as a multiple of the longest response.
    static constexpr double margin = 1.5;


    /// Records a complete response. Times must not decrease between calls.
    void add(base::duration taken, base::time_point now);


    /// Returns a time that responses seldom exceed, if it is known.
    std::optional<base::duration> bound(base::time_point now) const;

private:
    struct responses
    {
        unsigned count_ = 0;
        base::duration longest_{0};
    };

    responses current_;
    responses previous_;
    base::time_point period_end_;
};

} // namespace monsoondock::relay::pvt

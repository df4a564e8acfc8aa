#include <monsoondock/routing/gcra.hpp>

#include <algorithm>

namespace monsoondock::routing {

namespace {

constexpr double MIN_RATE_PER_SECOND = 1e-3;


std::chrono::nanoseconds interval_of(double per_second)
{
    const std::chrono::duration<double> interval(1.0 / per_second);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(interval);
}

} // namespace


gcra::gcra(double per_second, std::chrono::nanoseconds burst)
    : per_second_(std::max(per_second, MIN_RATE_PER_SECOND)), burst_(burst)
{}


void gcra::set_rate(double per_second, base::time_point now)
{
    const double rate = std::max(per_second, MIN_RATE_PER_SECOND);
    if (theoretical_arrival_ > now) {
        const std::chrono::duration<double, std::nano> left =
            theoretical_arrival_ - now;
        theoretical_arrival_ =
            now + std::chrono::duration_cast<std::chrono::nanoseconds>(
                      left * (per_second_ / rate));
    }
    per_second_ = rate;
}


void gcra::set_burst(std::chrono::nanoseconds burst, base::time_point now)
{
    burst_ = burst;
    theoretical_arrival_ =
        std::min(theoretical_arrival_, now + burst_ + interval_of(per_second_));
}


std::chrono::nanoseconds gcra::take(base::time_point now)
{
    const base::time_point start = std::max(theoretical_arrival_, now);
    const auto early = start - now;
    if (early > burst_)
        return early - burst_;
    theoretical_arrival_ = start + interval_of(per_second_);
    return std::chrono::nanoseconds(0);
}

} // namespace monsoondock::routing

#include <monsoondock/routing/admission.hpp>

#include <algorithm>

namespace monsoondock::routing {

namespace {

constexpr std::chrono::seconds RATE_WINDOW{1};
constexpr double NEW_WINDOW_WEIGHT = 0.3;
constexpr std::chrono::milliseconds MIN_RETRY_AFTER{200};


std::chrono::milliseconds to_milliseconds(double seconds)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}


// Adds a random delay of up to the same length, which spreads the retries.
std::chrono::milliseconds
add_jitter(std::chrono::milliseconds earliest, std::mt19937_64& random)
{
    const auto base = std::max(earliest, MIN_RETRY_AFTER);
    std::uniform_int_distribution<std::int64_t> extra(0, base.count());
    return base + std::chrono::milliseconds(extra(random));
}

} // namespace


drain_rate::drain_rate(double expected) : rate_(expected) {}


void drain_rate::drained(std::uint32_t cost, base::time_point now)
{
    window_cost_ += cost;
    const auto elapsed = now - window_start_;
    if (elapsed < RATE_WINDOW)
        return;
    const double seconds = std::chrono::duration<double>(elapsed).count();
    rate_ += NEW_WINDOW_WEIGHT * (window_cost_ / seconds - rate_);
    window_cost_ = 0;
    window_start_ = now;
}


admission decide_admission(
    const fair_queue& queue,
    const queue_item& item,
    double tokens_per_second,
    base::time_point now,
    std::mt19937_64& random)
{
    const double rate = std::max(tokens_per_second, 1.0);
    const auto cost_ahead = static_cast<double>(queue.work_ahead(item));
    const auto wait = to_milliseconds(cost_ahead / rate);
    const auto time_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            item.deadline_ - now);
    if (wait <= time_left)
        return admitted{wait};
    return refused{wait, add_jitter(wait - time_left, random)};
}

} // namespace monsoondock::routing

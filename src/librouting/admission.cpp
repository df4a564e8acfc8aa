#include <monsoondock/routing/admission.hpp>

#include <algorithm>

namespace monsoondock::routing {

namespace {

constexpr std::chrono::seconds RATE_WINDOW{1};
constexpr double NEW_WINDOW_WEIGHT = 0.3;
constexpr std::chrono::milliseconds LEAST_RETRY_AFTER{200};


std::chrono::milliseconds to_milliseconds(double seconds)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}


// Returns come back over as long a time again as the queue needs to shorten.
std::chrono::milliseconds
spread(std::chrono::milliseconds earliest, std::mt19937_64& random)
{
    const auto base = std::max(earliest, LEAST_RETRY_AFTER);
    std::uniform_int_distribution<std::int64_t> extra(0, base.count());
    return base + std::chrono::milliseconds(extra(random));
}

} // namespace


drain_rate::drain_rate(double expected) : rate_(expected) {}


void drain_rate::drained(std::uint32_t cost, base::time_point now)
{
    pending_ += cost;
    const auto length = now - window_start_;
    if (length < RATE_WINDOW)
        return;
    const double seconds = std::chrono::duration<double>(length).count();
    rate_ += NEW_WINDOW_WEIGHT * (pending_ / seconds - rate_);
    pending_ = 0;
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
    const auto ahead = static_cast<double>(queue.work_ahead(item));
    const auto wait = to_milliseconds(ahead / rate);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        item.deadline_ - now);
    if (wait <= left)
        return admitted{wait};
    return refused{wait, spread(wait - left, random)};
}

} // namespace monsoondock::routing

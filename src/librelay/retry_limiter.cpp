#include <monsoondock/relay/retry_limiter.hpp>

#include <algorithm>

namespace monsoondock::relay {

namespace {

// Only requests of the last half of the window count: they are still within
// any window in which the repeat that they allow will be counted.
constexpr std::int64_t request_slices = 5;
// Part of the limit that daemons use by themselves. The rest covers what their
// windows differ, which is a few repeats in a hundred
// (retry_limiter_exploration).
constexpr double used_part = 0.85;

} // namespace

retry_limiter::slice& retry_limiter::current(base::time_point now)
{
    const auto width = limit_.window_ / static_cast<int>(slices_in_window);
    const std::int64_t number = now.time_since_epoch() / width;
    slice& s = slices_[static_cast<std::size_t>(number) % slice_count];
    if (s.number_ != number)
        s = {number, 0, 0, 1};
    return s;
}


void retry_limiter::add_request(base::time_point now)
{
    ++current(now).requests_;
}


bool retry_limiter::take_retry(unsigned daemons, base::time_point now)
{
    slice& latest = current(now);
    latest.daemons_ = std::max(latest.daemons_, daemons);
    const std::int64_t oldest =
        latest.number_ - static_cast<std::int64_t>(slices_in_window);
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
    unsigned sharing = 1;
    for (const slice& s : slices_) {
        if (s.number_ < oldest)
            continue;
        if (s.number_ > latest.number_ - request_slices)
            requests += s.requests_;
        repeats += s.repeats_;
        sharing = std::max(sharing, s.daemons_);
    }
    const double slack =
        now < limit_.slack_available_from_ ? 0 : limit_.slack_ / sharing;
    const double allowed = used_part * (limit_.ratio_ * requests + slack);
    if (repeats + 1 > allowed)
        return false;
    ++latest.repeats_;
    return true;
}

} // namespace monsoondock::relay

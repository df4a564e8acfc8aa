#include <monsoondock/relay/retry_limiter.hpp>

#include <algorithm>

namespace monsoondock::relay {

namespace {

// Only requests of the last half of the window count. They are still within
// any window in which the retries that they permit will be counted.
constexpr std::int64_t request_slices = 5;
// Share of the limit that daemons use. The rest allows for windows that are not
// aligned between daemons, which amounts to a few percent of the retries (see
// retry_limiter_exploration_test.cpp).
constexpr double usable_share = 0.85;

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
    std::uint32_t retries = 0;
    unsigned sharing_daemons = 1;
    for (const slice& s : slices_) {
        if (s.number_ < oldest)
            continue;
        if (s.number_ > latest.number_ - request_slices)
            requests += s.requests_;
        retries += s.retries_;
        sharing_daemons = std::max(sharing_daemons, s.daemons_);
    }
    const double slack = now < limit_.slack_available_from_
                             ? 0
                             : limit_.slack_ / sharing_daemons;
    const double allowed = usable_share * (limit_.ratio_ * requests + slack);
    if (retries + 1 > allowed)
        return false;
    ++latest.retries_;
    return true;
}

} // namespace monsoondock::relay

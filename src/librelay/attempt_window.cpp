#include <monsoondock/relay/attempt_window.hpp>

namespace monsoondock::relay {

attempt_window::slice& attempt_window::current(base::time_point now)
{
    const auto width = limit_.window_ / static_cast<int>(slice_count);
    const std::int64_t number = now.time_since_epoch() / width;
    slice& s = slices_[static_cast<std::size_t>(number) % slice_count];
    if (s.number_ != number)
        s = {number, 0, 0};
    return s;
}


void attempt_window::add_request(base::time_point now)
{
    ++current(now).requests_;
}


bool attempt_window::take_repeat(unsigned daemons, base::time_point now)
{
    slice& latest = current(now);
    const std::int64_t oldest =
        latest.number_ - static_cast<std::int64_t>(slice_count) + 1;
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
    for (const slice& s : slices_) {
        if (s.number_ < oldest)
            continue;
        requests += s.requests_;
        repeats += s.repeats_;
    }
    const double allowed =
        limit_.ratio_ * requests + limit_.slack_ / (daemons == 0 ? 1 : daemons);
    if (repeats + 1 > allowed)
        return false;
    ++latest.repeats_;
    return true;
}

} // namespace monsoondock::relay

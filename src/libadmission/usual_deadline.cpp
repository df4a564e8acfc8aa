#include <monsoondock/admission/usual_deadline.hpp>

#include <algorithm>
#include <cmath>

namespace monsoondock::admission {

namespace {

std::int64_t to_bin(milliseconds time_left)
{
    return std::llround(time_left / milliseconds(usual_deadline::resolution));
}

} // namespace

void usual_deadline::add(milliseconds time_left)
{
    ++counts_[to_bin(time_left)];
    if (++total_ < period)
        return;
    const auto most = std::max_element(
        counts_.begin(), counts_.end(), [](const auto& a, const auto& b) {
            return a.second < b.second;
        });
    usual_.reset();
    if (most->second >= min_part * period)
        usual_ = most->first;
    counts_.clear();
    total_ = 0;
}


bool usual_deadline::is_returned(milliseconds time_left) const
{
    if (!usual_)
        return false;
    const std::int64_t bin = to_bin(time_left);
    // The next one may be the usual one, rounded.
    return bin < *usual_ - 1 &&
           double(bin) >= min_remaining_part * double(*usual_);
}

} // namespace monsoondock::admission

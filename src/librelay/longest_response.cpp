#include "longest_response.hpp"

#include <algorithm>
#include <utility>

namespace monsoondock::relay::pvt {

void longest_response::add(base::duration taken, base::time_point now)
{
    if (now >= period_end_) {
        previous_ = now < period_end_ + period ? current_ : responses{};
        current_ = {};
        period_end_ = now + period;
    }
    ++current_.count_;
    current_.longest_ = std::max(current_.longest_, taken);
}


std::optional<base::duration>
longest_response::bound(base::time_point now) const
{
    if (now >= period_end_ + period ||
        current_.count_ + previous_.count_ < min_responses)
        return std::nullopt;
    const auto longest = std::max(current_.longest_, previous_.longest_);
    return std::chrono::duration_cast<base::duration>(longest * margin);
}

} // namespace monsoondock::relay::pvt

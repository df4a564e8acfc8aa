#include <monsoondock/admission/refused_requests.hpp>

namespace monsoondock::admission {

void refused_requests::add(std::uint64_t fingerprint, base::time_point now)
{
    by_time_.push_back({fingerprint, now});
    latest_[fingerprint] = now;
    while (by_time_.size() > max_requests ||
           now - by_time_.front().at_ > memory) {
        const refusal oldest = by_time_.front();
        by_time_.pop_front();
        const auto found = latest_.find(oldest.fingerprint_);
        if (found != latest_.end() && found->second == oldest.at_)
            latest_.erase(found);
    }
}


bool refused_requests::contains(
    std::uint64_t fingerprint, base::time_point now) const
{
    const auto found = latest_.find(fingerprint);
    return found != latest_.end() && now - found->second <= memory;
}

} // namespace monsoondock::admission

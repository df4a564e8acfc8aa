#include "host_removal.hpp"

#include <algorithm>

namespace monsoondock::entry::pvt {

std::chrono::milliseconds removal_delay(
    const fleet::host_info& host, std::chrono::milliseconds drain_time)
{
    const bool serves = host.role_ && !host.draining_ &&
                        (host.role_->phase_ == fleet::group_phase::ready ||
                         host.role_->phase_ == fleet::group_phase::open);
    return serves
               ? std::max(
                     drain_time - removal_spread, std::chrono::milliseconds(0))
               : std::chrono::milliseconds(0);
}

} // namespace monsoondock::entry::pvt

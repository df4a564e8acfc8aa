#include "service_choice.hpp"

#include <algorithm>

namespace monsoondock::traffic::pvt {

const service_host* choose_host(
    const service_row& service,
    const std::vector<base::host_id>& tried,
    base::time_point now)
{
    const service_host* best = nullptr;
    for (const service_host& host : service.hosts_) {
        if (std::find(tried.begin(), tried.end(), host.host_) != tried.end() ||
            !host.load_->limit_.may_send(now))
            continue;
        if (best == nullptr || host.load_->in_flight_ < best->load_->in_flight_)
            best = &host;
    }
    return best;
}

} // namespace monsoondock::traffic::pvt

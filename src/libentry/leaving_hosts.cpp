#include "leaving_hosts.hpp"

namespace monsoondock::entry::pvt {

void leaving_hosts::add(const fleet::host_info& host, base::time_point now)
{
    if (host.process_start_ms_ != 0)
        records_[host.id_] = {host.process_start_ms_, now};
}


bool leaving_hosts::contains(const fleet::host_info& host) const
{
    const auto found = records_.find(host.id_);
    return found != records_.end() &&
           found->second.process_start_ms_ == host.process_start_ms_;
}


void leaving_hosts::prune(base::time_point now)
{
    std::erase_if(records_, [now](const auto& entry) {
        return now - entry.second.added_at_ > retention;
    });
}

} // namespace monsoondock::entry::pvt

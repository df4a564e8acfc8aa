#include "control_plane.hpp"

#include <monsoondock/base/event_line.hpp>

namespace monsoondock::entry::pvt {

void announce_leaving_host(control_plane& c, const base::host_id& id)
{
    const auto found = c.hosts_.hosts_.find(id);
    if (found == c.hosts_.hosts_.end())
        return;
    const host_leaving_message m{id, found->second.process_start_ms_};
    broadcast(c, m);
    mark_host_leaving(c, m);
}


void mark_host_leaving(control_plane& c, const host_leaving_message& m)
{
    const auto found = c.hosts_.hosts_.find(m.host_);
    if (found == c.hosts_.hosts_.end())
        return;
    fleet::host_info& host = found->second;
    if (host.draining_ || host.process_start_ms_ != m.process_start_ms_)
        return;
    host.draining_ = true;
    c.hosts_.leaving_.add(host, base::boot_clock::now());
    // The view of the traffic thread is replaced a little later.
    c.proxy_->mark_leaving(host.id_, host.process_start_ms_);
    base::event_line("host_leaving")
        .field("host", host.id_)
        .field("deployment", host.deployment_)
        .field("born", host.process_start_ms_);
    publish_host_changes(c);
}

} // namespace monsoondock::entry::pvt

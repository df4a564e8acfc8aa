#include "control_plane.hpp"
#include "evacuation_watch.hpp"
#include "peer_topology.hpp"

namespace monsoondock::entry::pvt {

namespace {

// A daemon that has been started or was cut off is told within two periods.
constexpr std::chrono::milliseconds exchange_period{1000};


void send_state(control_plane& c, const peer_message& m)
{
    if (is_small_cluster(c.node_.members())) {
        send_nearby(c, m);
        return;
    }
    const auto& self = c.node_.self();
    const membership::member_record relay = own_relay(c);
    if (relay.id_ != self.id_) {
        send_to_peer(c, relay.peer_, m);
        return;
    }
    send_nearby(c, m);
    for (const auto& first :
         first_of_each_data_centre(c.node_.members(), self)) {
        if (first.data_centre_ != self.data_centre_)
            send_to_peer(c, first.peer_, m);
    }
}

} // namespace

void exchange_state(control_plane& c, const relay::traffic_stats& stats)
{
    if (!stats.part_report_.empty())
        broadcast(c, part_report_message{stats.part_report_});
    c.parts_.known_ = stats.part_state_;
    const base::time_point now = base::boot_clock::now();
    if (now - c.state_exchanged_at_ < exchange_period)
        return;
    c.state_exchanged_at_ = now;
    if (!stats.part_state_.empty())
        send_state(c, part_report_message{stats.part_state_});
    if (!stats.host_limits_.empty())
        send_state(c, host_limits_message{stats.host_limits_});
    if (const auto evacuations = repeated_evacuations(c))
        send_state(c, *evacuations);
}

} // namespace monsoondock::entry::pvt

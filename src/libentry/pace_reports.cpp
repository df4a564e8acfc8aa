#include "control_plane.hpp"
#include "peer_topology.hpp"

#include <monsoondock/base/event_line.hpp>

namespace monsoondock::entry::pvt {

namespace {

constexpr std::chrono::seconds unusable_log_period{10};

// Names under which sums of many daemons are kept by the traffic thread.
const base::daemon_id own_data_centre_paces{"own data centre"};
const base::daemon_id other_data_centre_paces{"other data centres"};


void send_sums(control_plane& c, base::time_point now)
{
    const auto& self = c.node_.self();
    const pace_reports own = c.paces_.exchange_.own_sum(now);
    const pace_reports others = c.paces_.exchange_.other_sum(now);
    if (!own.empty()) {
        const std::string to_relays = encode(host_pace_message{
            pace_scope::data_centre, self.data_centre_.value_, own});
        for (const auto& first :
             first_of_each_data_centre(c.node_.members(), self)) {
            if (first.data_centre_ != self.data_centre_)
                send_bytes(c, first.peer_, to_relays);
        }
    }
    for (const auto& [scope, reports] :
         {std::pair(pace_scope::own_data_centre, &own),
          std::pair(pace_scope::other_data_centres, &others)}) {
        if (reports->empty())
            continue;
        const host_pace_message m{scope, self.data_centre_.value_, *reports};
        send_nearby(c, m);
        handle_paces(c, m);
    }
}


void log_unusable(
    control_plane& c, const host_pace_message& m, std::size_t unusable)
{
    pace_exchange_state& p = c.paces_;
    p.unusable_ += unusable;
    const base::time_point now = base::boot_clock::now();
    if (p.unusable_ == 0 || (p.unusable_logged_at_ != base::time_point() &&
                             now - p.unusable_logged_at_ < unusable_log_period))
        return;
    p.unusable_logged_at_ = now;
    base::event_line("unusable_pace_report", base::severity::warning)
        .field("source", m.source_)
        .field("reports", std::exchange(p.unusable_, 0));
}

} // namespace

void report_paces(control_plane& c, const pace_reports& reports)
{
    const base::time_point now = base::boot_clock::now();
    if (!c.config_.learned_capacity_ ||
        now - c.paces_.reported_at_ < pace_report_period)
        return;
    c.paces_.reported_at_ = now;
    const host_pace_message m{
        pace_scope::daemon, c.config_.daemon_.value_, reports};
    if (is_small_cluster(c.node_.members())) {
        if (!reports.empty())
            broadcast(c, m);
        return;
    }
    const membership::member_record relay = own_relay(c);
    if (relay.id_ == c.config_.daemon_) {
        handle_paces(c, m);
        send_sums(c, now);
    } else if (!reports.empty()) {
        send_to_peer(c, relay.peer_, m);
    }
}


void handle_paces(control_plane& c, const host_pace_message& m)
{
    if (!c.config_.learned_capacity_)
        return;
    pace_reports reports = m.reports_;
    log_unusable(c, m, remove_unusable(reports));
    const base::time_point now = base::boot_clock::now();
    const bool direct = is_small_cluster(c.node_.members());
    switch (m.scope_) {
    case pace_scope::daemon:
        if (direct)
            c.proxy_->apply_pace_reports({m.source_}, std::move(reports));
        else
            c.paces_.exchange_.set_daemon({m.source_}, std::move(reports), now);
        break;
    case pace_scope::alert:
        c.proxy_->apply_pace_reports({m.source_}, std::move(reports));
        break;
    case pace_scope::data_centre:
        c.paces_.exchange_.set_data_centre(
            {m.source_}, std::move(reports), now);
        break;
    case pace_scope::own_data_centre:
        c.proxy_->apply_pace_reports(own_data_centre_paces, std::move(reports));
        break;
    case pace_scope::other_data_centres:
        c.proxy_->apply_pace_reports(
            other_data_centre_paces, std::move(reports));
        break;
    }
}

} // namespace monsoondock::entry::pvt

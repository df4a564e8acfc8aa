#include "control_plane.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <array>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds tick_period{100};
constexpr std::chrono::milliseconds demand_report_period{1000};
constexpr std::size_t max_datagram_bytes = 65507;


template <class... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};
template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;


void send_datagram(
    control_plane& c, const membership::endpoint& to, const std::string& bytes)
{
    boost::system::error_code failure;
    c.peer_socket_.send_to(
        asio::buffer(bytes),
        {asio::ip::address_v4(to.address_), to.port_},
        0,
        failure);
    if (!failure)
        c.metrics_.add(
            metrics::counter::peer_bytes_sent, {"none", "none"}, bytes.size());
}


void handle_member_event(
    control_plane& c, const membership::member_event& event)
{
    if (const auto* changed = std::get_if<membership::member_changed>(&event)) {
        base::event_line("member_changed")
            .field("member", changed->record_.id_)
            .field("state", to_string(changed->record_.state_));
        publish_view(c);
    }
    if (const auto* pause = std::get_if<membership::pause_detected>(&event))
        base::event_line("process_paused", base::severity::warning)
            .field("gap", pause->gap_);
}


void handle_heartbeat(control_plane& c, const leader_heartbeat& m)
{
    leader_state& l = c.leader_;
    if (m.term_ < l.term_)
        return;
    if (l.leading_ && m.term_ > l.term_) {
        base::event_line("leadership_lost", base::severity::warning)
            .field("new_leader", m.leader_)
            .field("term", m.term_);
        l.leading_ = false;
        c.planners_.clear();
    }
    l.term_ = m.term_;
    l.leader_ = m.leader_;
    // A stopping leader sends a heartbeat without a name.
    l.resigned_ = m.leader_.value_.empty();
    l.last_heartbeat_at_ = base::boot_clock::now();
    l.leader_store_contact_at_ = l.last_heartbeat_at_ - m.store_contact_age_;
    update_leader_position(c, m.position_);
}


void handle_message(
    control_plane& c,
    const peer_message& message,
    const membership::endpoint& from)
{
    const base::time_point now = base::boot_clock::now();
    std::visit(
        overloaded{
            [&](const membership_message& m) {
                apply_node_output(c, c.node_.handle({from, m.body_}, now));
            },
            [&](const leader_heartbeat& m) { handle_heartbeat(c, m); },
            [&](const upstream_suspected_message& m) {
                c.proxy_->mark_unhealthy(m.host_);
                check_group(c, m);
            },
            [&](const upstream_healthy_message& m) {
                c.reachability_[m.host_].last_answered_at_ = now;
                c.proxy_->mark_healthy(m.host_);
            },
            [&](const load_message& m) {
                c.proxy_->set_peer_loads(m.sender_, m.loads_);
            },
            [&](const upstream_query_message& m) {
                c.proxy_->report_if_responsive(m.host_);
            },
            [&](const probe_request_message& m) { probe_for_leader(c, m); },
            [&](const probe_success_message& m) {
                c.reachability_[m.host_].last_answered_at_ = now;
            },
            [&](const relist_hosts_message&) {
                // A follower receives the changes from the leader.
                if (!follows_leader(c))
                    asio::co_spawn(c.context_, relist_hosts(c), asio::detached);
            },
            [&](const host_changes_message& m) { apply_pushed_changes(c, m); },
            [&](const host_unreachable_message& m) {
                mark_host_unreachable(c, m.host_);
            },
            [&](const demand_message& m) { record_demand(c, m); },
            [&](const crash_message& m) {
                c.proxy_->add_crash_report(m.report_);
            }},
        message);
}


/// Activity of this daemon that has been reported to peers, and demand that
/// has not been reported yet.
struct reported_activity
{
    std::unordered_map<base::host_id, unsigned> loads_;
    relay::demand_table demand_;
    base::time_point demand_start_;
};


void report_activity(
    control_plane& c,
    reported_activity& reported,
    const relay::traffic_stats& stats)
{
    if (stats.loads_ != reported.loads_) {
        reported.loads_ = stats.loads_;
        broadcast(c, load_message{c.config_.daemon_, stats.loads_});
    }
    for (const auto& [deployment_and_model, demand] : stats.demand_) {
        auto& total = reported.demand_[deployment_and_model];
        total.requests_ += demand.requests_;
        total.prompt_tokens_ += demand.prompt_tokens_;
        total.answer_tokens_ += demand.answer_tokens_;
    }
    const base::time_point now = base::boot_clock::now();
    if (now - reported.demand_start_ < demand_report_period)
        return;
    const demand_message m{
        c.config_.daemon_,
        std::exchange(reported.demand_, {}),
        std::chrono::duration_cast<std::chrono::milliseconds>(
            now - reported.demand_start_)};
    reported.demand_start_ = now;
    record_demand(c, m);
    broadcast(c, m);
}


asio::awaitable<void> receive_datagrams(control_plane& c)
{
    std::string buffer(max_datagram_bytes, '\0');
    asio::ip::udp::endpoint from;
    for (;;) {
        const auto [failure, size] = co_await c.peer_socket_.async_receive_from(
            asio::buffer(buffer), from, base::await_tuple);
        if (failure == asio::error::operation_aborted)
            co_return;
        // The kernel reports a refused connection after a datagram was sent to
        // a peer that is down. The socket remains usable.
        if (failure)
            continue;
        const auto message = decode(buffer.substr(0, size));
        if (message)
            handle_message(
                c, *message, {from.address().to_v4().to_uint(), from.port()});
        else
            c.metrics_.add(
                metrics::counter::peer_datagrams_dropped,
                {"none", "malformed"});
    }
}

} // namespace

void apply_node_output(control_plane& c, const membership::node_output& out)
{
    for (const membership::datagram& d : out.datagrams_)
        send_datagram(c, d.peer_, encode(membership_message{d.body_}));
    for (const membership::member_event& event : out.events_)
        handle_member_event(c, event);
}


void broadcast(control_plane& c, const peer_message& m)
{
    const std::string bytes = encode(m);
    for (const auto& [id, member] : c.node_.members()) {
        if (member.record_.state_ != membership::member_state::dead)
            send_datagram(c, member.record_.peer_, bytes);
    }
}


asio::awaitable<void> run_peer_messaging(control_plane& c)
{
    asio::co_spawn(c.context_, receive_datagrams(c), asio::detached);
    for (;;) {
        apply_node_output(c, c.node_.tick(base::boot_clock::now()));
        co_await sleep_for(c, tick_period);
    }
}


asio::awaitable<void> run_load_reports(control_plane& c)
{
    auto reported = std::make_shared<reported_activity>();
    reported->demand_start_ = base::boot_clock::now();
    for (;;) {
        co_await sleep_for(c, relay::load_report_period(live_daemons(c)));
        c.proxy_->take_traffic_stats([&c,
                                      reported](relay::traffic_stats stats) {
            asio::post(c.context_, [&c, reported, stats = std::move(stats)] {
                report_activity(c, *reported, stats);
            });
        });
    }
}

} // namespace monsoondock::entry::pvt

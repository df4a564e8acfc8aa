#include "control_plane.hpp"
#include "evacuation_watch.hpp"
#include "peer_topology.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds tick_period{100};
constexpr std::size_t max_datagram_bytes = 65507;
// Datagrams that are read, and of these handled, before other work of the
// control thread has its turn.
constexpr std::size_t max_datagrams_read = 256;
constexpr std::size_t max_datagrams_handled = 8;
// A relay that has not heard the leader for this time stops relaying; a leader
// sends several heartbeats within it.
constexpr std::chrono::milliseconds relay_lease{1000};
// A relay that lacks changes of the leader for longer than this does not offer
// itself as a source of them.
constexpr std::chrono::milliseconds max_relay_lag{1000};
// A control thread that is this late delays probes of members and the spread of
// configurations noticeably.
constexpr std::chrono::milliseconds reported_delay{250};


template <class... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};
template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;


void handle_member_event(
    control_plane& c, const membership::member_event& event)
{
    if (const auto* changed = std::get_if<membership::member_changed>(&event)) {
        base::event_line("member_changed")
            .field("member", changed->record_.id_)
            .field("state", to_string(changed->record_.state_));
        if (changed->record_.state_ == membership::member_state::dead)
            c.proxy_->set_peer_loads(changed->record_.id_, {});
        publish_view(c);
    }
    if (const auto* seen = std::get_if<membership::revision_seen>(&event))
        base::event_line("settings_news")
            .field("rank", seen->settings_revision_)
            .field("from", to_string(seen->from_))
            .field("daemon", c.config_.daemon_);
    if (const auto* pause = std::get_if<membership::pause_detected>(&event))
        base::event_line("process_paused", base::severity::warning)
            .field("gap", pause->gap_);
}


// Passes a heartbeat of the leader on to the daemons of this data centre, which
// then follow the change log of this daemon.
void relay_heartbeat(control_plane& c, leader_heartbeat m)
{
    const base::time_point now = base::boot_clock::now();
    if (!c.hosts_.loaded_ || now - c.hosts_.caught_up_at_ > max_relay_lag)
        return;
    c.leader_.relaying_until_ = now + relay_lease;
    m.relay_ = false;
    m.position_ = own_position(c);
    send_nearby(c, m);
}


void handle_heartbeat(
    control_plane& c,
    const leader_heartbeat& m,
    const membership::endpoint& sender)
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
    update_host_source(c, sender, m.position_);
    if (m.relay_)
        relay_heartbeat(c, m);
}


void handle_message(
    control_plane& c,
    const peer_message& message,
    const membership::endpoint& sender);


void handle_forwarded(
    control_plane& c,
    const forwarded_message& m,
    const membership::endpoint& sender)
{
    const auto inner = decode(m.body_);
    // A message is forwarded once.
    if (!inner || std::holds_alternative<forwarded_message>(*inner))
        return;
    for (const membership::endpoint& peer :
         nearby_peers(c.node_.members(), c.node_.self()))
        send_bytes(c, peer, m.body_);
    handle_message(c, *inner, sender);
}


void answer_query(
    control_plane& c,
    const base::host_id& host,
    const membership::endpoint& sender)
{
    c.proxy_->report_if_responsive(host, [&c, host, sender] {
        asio::post(c.context_, [&c, host, sender] {
            send_to_peer(c, sender, upstream_healthy_message{host});
        });
    });
}


// A report of a peer changes what this daemon believes of a host without any
// evidence of its own.
void log_report(
    const control_plane& c,
    const membership::endpoint& sender,
    const base::host_id& host,
    std::string_view report)
{
    base::event_line("peer_report")
        .field("host", host)
        .field("report", report)
        .field("from", to_string(sender))
        .field("daemon", c.config_.daemon_);
}


void handle_message(
    control_plane& c,
    const peer_message& message,
    const membership::endpoint& sender)
{
    std::visit(
        overloaded{
            [&](const membership_message& m) {
                apply_node_output(
                    c,
                    c.node_.handle({sender, m.body_}, base::boot_clock::now()));
            },
            [&](const leader_heartbeat& m) { handle_heartbeat(c, m, sender); },
            [&](const upstream_suspected_message& m) {
                log_report(c, sender, m.host_, "upstream_suspected");
                c.proxy_->mark_unhealthy(m.host_);
                check_group(c, m);
            },
            [&](const upstream_healthy_message& m) {
                c.proxy_->mark_healthy(m.host_);
                handle_reached_host(c, m.host_);
            },
            [&](const load_message& m) { handle_loads(c, m); },
            [&](const data_centre_load_message& m) { handle_loads(c, m); },
            [&](const load_sum_message& m) { handle_loads(c, m); },
            [&](const upstream_query_message& m) {
                answer_query(c, m.host_, sender);
            },
            [&](const relist_hosts_message&) {
                // The other daemons receive the changes from the leader.
                if (watches_hosts(c))
                    asio::co_spawn(c.context_, relist_hosts(c), asio::detached);
            },
            [&](const host_changes_message& m) {
                apply_pushed_changes(c, m, sender);
            },
            [&](const host_unreachable_message& m) {
                log_report(c, sender, m.host_, "host_unreachable");
                handle_unreachable_host(c, m.host_);
                mark_host_unreachable(c, m.host_);
            },
            [&](const host_leaving_message& m) { mark_host_leaving(c, m); },
            [&](const demand_message& m) { record_demand(c, m); },
            [&](const crash_message& m) {
                c.proxy_->add_crash_report(m.report_);
            },
            [&](const part_report_message& m) {
                c.proxy_->apply_part_report(m.report_);
            },
            [&](const host_limits_message& m) {
                for (const relay::host_limit_report& r : m.limits_)
                    c.proxy_->apply_host_limit(r);
            },
            [&](const host_pace_message& m) { handle_paces(c, m); },
            [&](const host_query_message& m) {
                asio::co_spawn(
                    c.context_,
                    answer_host_query(c, m, sender),
                    asio::detached);
            },
            [&](const host_finding_message& m) {
                handle_finding(c, m, sender);
            },
            [&](const group_check_message& m) {
                check_group(c, {m.head_, {}});
            },
            [&](const evacuations_message& m) { handle_evacuations(c, m); },
            [&](const forwarded_message& m) {
                handle_forwarded(c, m, sender);
            }},
        message);
}


// Reads what has arrived, so that it can be handled by priority.
void read_datagrams(control_plane& c, std::string& buffer)
{
    const base::time_point now = base::boot_clock::now();
    for (std::size_t i = 0; i < max_datagrams_read; ++i) {
        asio::ip::udp::endpoint from;
        boost::system::error_code failure;
        const std::size_t size =
            c.peer_socket_.receive_from(asio::buffer(buffer), from, 0, failure);
        if (failure == asio::error::would_block)
            return;
        // The kernel reports a refused connection after a datagram was sent to
        // a peer that is down. The socket remains usable.
        if (!failure)
            c.inbox_.push(
                {buffer.substr(0, size),
                 {from.address().to_v4().to_uint(), from.port()},
                 now});
    }
}


void handle_datagram(control_plane& c, const received_datagram& d)
{
    const auto message = decode(d.bytes_);
    if (!message) {
        c.metrics_.add(
            metrics::counter::peer_datagrams_dropped, {"none", "malformed"});
        return;
    }
    ++c.handled_messages_;
    c.metrics_.add(
        metrics::counter::peer_messages,
        {"none", std::string(kind_of(*message))});
    handle_message(c, *message, d.sender_);
}


void handle_waiting_datagrams(control_plane& c)
{
    for (std::size_t i = 0; i < max_datagrams_handled; ++i) {
        const auto d = c.inbox_.pop(base::boot_clock::now());
        if (!d)
            break;
        handle_datagram(c, *d);
    }
}


void publish_dropped_datagrams(control_plane& c)
{
    c.metrics_.set_total(
        metrics::counter::peer_datagrams_dropped,
        {"none", "load"},
        c.inbox_.dropped(message_priority::load));
    c.metrics_.set_total(
        metrics::counter::peer_datagrams_dropped,
        {"none", "evidence"},
        c.inbox_.dropped(message_priority::evidence));
    c.metrics_.set_total(
        metrics::counter::peer_datagrams_dropped,
        {"none", "control"},
        c.inbox_.dropped(message_priority::control));
}


asio::awaitable<void> receive_datagrams(control_plane& c)
{
    std::string buffer(max_datagram_bytes, '\0');
    c.peer_socket_.non_blocking(true);
    for (;;) {
        if (c.inbox_.empty()) {
            const auto [failure] = co_await c.peer_socket_.async_wait(
                asio::ip::udp::socket::wait_read, base::await_tuple);
            if (failure == asio::error::operation_aborted)
                co_return;
        } else {
            // Timers and other sockets have their turn.
            co_await asio::post(c.context_, base::await_tuple);
        }
        read_datagrams(c, buffer);
        handle_waiting_datagrams(c);
    }
}


// Records how late the periodic work ran, and what kept the control thread
// busy meanwhile.
void record_delay(
    control_plane& c,
    base::duration delay,
    std::uint64_t messages_before,
    std::uint64_t probes_before)
{
    c.metrics_.observe(
        metrics::latency::control_delay, {"none", "none"}, delay);
    publish_dropped_datagrams(c);
    if (delay < reported_delay)
        return;
    base::event_line("control_thread_delayed", base::severity::warning)
        .field("delay", delay)
        .field("messages", c.handled_messages_ - messages_before)
        .field("link_probes", c.links_.probes_ - probes_before)
        .field("checks", c.links_.checks_.size())
        .field("dropped", c.inbox_.dropped(message_priority::evidence))
        .field("daemon", c.config_.daemon_);
}

} // namespace

void send_bytes(
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


void apply_node_output(control_plane& c, const membership::node_output& out)
{
    for (const membership::datagram& d : out.datagrams_)
        send_bytes(c, d.peer_, encode(membership_message{d.body_}));
    for (const membership::member_event& event : out.events_)
        handle_member_event(c, event);
}


void send_to_peer(
    control_plane& c, const membership::endpoint& to, const peer_message& m)
{
    send_bytes(c, to, encode(m));
}


void send_nearby(control_plane& c, const peer_message& m)
{
    const std::string bytes = encode(m);
    for (const membership::endpoint& peer :
         nearby_peers(c.node_.members(), c.node_.self()))
        send_bytes(c, peer, bytes);
}


void broadcast(control_plane& c, const peer_message& m)
{
    const message_route route = route_to_all(c.node_.members(), c.node_.self());
    const std::string bytes = encode(m);
    for (const membership::endpoint& peer : route.direct_)
        send_bytes(c, peer, bytes);
    if (route.relays_.empty())
        return;
    const std::string forwarded = encode(forwarded_message{bytes});
    for (const membership::endpoint& relay : route.relays_)
        send_bytes(c, relay, forwarded);
}


void broadcast_heartbeat(control_plane& c, leader_heartbeat m)
{
    const message_route route = route_to_all(c.node_.members(), c.node_.self());
    const std::string bytes = encode(m);
    for (const membership::endpoint& peer : route.direct_)
        send_bytes(c, peer, bytes);
    m.relay_ = true;
    const std::string to_relay = encode(m);
    for (const membership::endpoint& relay : route.relays_)
        send_bytes(c, relay, to_relay);
}


void send_to_followers(control_plane& c, const host_changes_message& m)
{
    message_route route = route_to_all(c.node_.members(), c.node_.self());
    // The relays announce the changes in their data centres once they have
    // applied them.
    if (c.leader_.leading_)
        route.direct_.insert(
            route.direct_.end(), route.relays_.begin(), route.relays_.end());
    const std::string bytes = encode(m);
    for (const membership::endpoint& peer : route.direct_)
        send_bytes(c, peer, bytes);
}


bool is_relaying(const control_plane& c)
{
    return base::boot_clock::now() < c.leader_.relaying_until_;
}


asio::awaitable<void> run_peer_messaging(control_plane& c)
{
    asio::co_spawn(c.context_, receive_datagrams(c), asio::detached);
    for (;;) {
        apply_node_output(c, c.node_.tick(base::boot_clock::now()));
        expire_pending_removals(c);
        const base::time_point due = base::boot_clock::now() + tick_period;
        const std::uint64_t messages = c.handled_messages_;
        const std::uint64_t probes = c.links_.probes_;
        co_await sleep_for(c, tick_period);
        record_delay(
            c,
            std::max(base::boot_clock::now() - due, base::duration(0)),
            messages,
            probes);
    }
}

} // namespace monsoondock::entry::pvt

#include "control_plane.hpp"
#include "peer_topology.hpp"

#include <boost/asio/post.hpp>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds demand_report_period{1000};
// Loads that have not changed are reported again after this time, before the
// receiver drops them.
constexpr std::chrono::milliseconds refresh_period{1000};
static_assert(2 * refresh_period < load_exchange::retention);
// Demand is reported to the leader and to this many daemons that are next to
// lead, so that a new leader knows it.
constexpr std::size_t demand_receivers = 2;

// Names under which sums of many daemons are kept by the traffic thread.
const base::daemon_id own_data_centre_loads{"own data centre"};
const base::daemon_id other_data_centre_loads{"other data centres"};


std::chrono::milliseconds report_period(const control_plane& c)
{
    return c.loads_.direct_ ? direct_report_period : relayed_report_period;
}


void send_sums(control_plane& c)
{
    const base::time_point now = base::boot_clock::now();
    const auto& self = c.node_.self();
    const load_sum_message sums{
        c.loads_.exchange_.own_sum(now), c.loads_.exchange_.other_sum(now)};
    const std::string to_relays = encode(
        data_centre_load_message{self.data_centre_, sums.own_data_centre_});
    for (const auto& first :
         first_of_each_data_centre(c.node_.members(), self)) {
        if (first.data_centre_ != self.data_centre_)
            send_bytes(c, first.peer_, to_relays);
    }
    send_nearby(c, sums);
    handle_loads(c, sums);
}


// Drops what was reported in the previous mode when the cluster has become
// large or small.
void update_exchange_mode(control_plane& c)
{
    const bool direct = is_small_cluster(c.node_.members());
    if (direct == c.loads_.direct_)
        return;
    c.loads_.direct_ = direct;
    c.loads_.reported_.clear();
    for (const auto& [id, member] : c.node_.members())
        c.proxy_->set_peer_loads(id, {});
    c.proxy_->set_peer_loads(own_data_centre_loads, {});
    c.proxy_->set_peer_loads(other_data_centre_loads, {});
}


void report_loads(control_plane& c, load_table loads)
{
    update_exchange_mode(c);
    const base::time_point now = base::boot_clock::now();
    const bool changed = loads != c.loads_.reported_;
    const bool due = now - c.loads_.reported_at_ >= refresh_period;
    const load_message m{c.config_.daemon_, std::move(loads)};
    if (changed || due) {
        c.loads_.reported_ = m.loads_;
        c.loads_.reported_at_ = now;
    }
    if (c.loads_.direct_) {
        if (changed)
            broadcast(c, m);
        return;
    }
    const membership::member_record relay = own_relay(c);
    if (relay.id_ == c.config_.daemon_) {
        handle_loads(c, m);
        send_sums(c);
    } else if (changed || due) {
        send_to_peer(c, relay.peer_, m);
    }
}


void send_demand(control_plane& c, const demand_message& m)
{
    record_demand(c, m);
    const std::string bytes = encode(m);
    const auto next = first_by_precedence(c.node_.members(), demand_receivers);
    for (const auto& peer : next) {
        if (peer.id_ != c.leader_.leader_)
            send_bytes(c, peer.peer_, bytes);
    }
    const auto leader = c.node_.members().find(c.leader_.leader_);
    if (leader != c.node_.members().end())
        send_bytes(c, leader->second.record_.peer_, bytes);
}


// A connection may be older than the finding that the link is cut; the tests of
// cut links show when it is restored.
void record_connected(control_plane& c, const std::set<base::host_id>& hosts)
{
    const base::time_point now = base::boot_clock::now();
    for (const base::host_id& host : hosts) {
        if (!c.links_.table_.is_cut(host))
            c.links_.table_.record_reached(host, now);
    }
}


/// Demand that has not been reported yet.
struct pending_demand
{
    relay::demand_table demand_;
    base::time_point since_;
};


void report_demand(
    control_plane& c,
    pending_demand& pending,
    const relay::demand_table& latest)
{
    for (const auto& [deployment_and_model, demand] : latest) {
        auto& total = pending.demand_[deployment_and_model];
        total.requests_ += demand.requests_;
        total.prompt_tokens_ += demand.prompt_tokens_;
        total.answer_tokens_ += demand.answer_tokens_;
    }
    const base::time_point now = base::boot_clock::now();
    if (now - pending.since_ < demand_report_period)
        return;
    send_demand(
        c,
        {c.config_.daemon_,
         std::exchange(pending.demand_, {}),
         std::chrono::duration_cast<std::chrono::milliseconds>(
             now - pending.since_)});
    pending.since_ = now;
}

} // namespace

membership::member_record own_relay(const control_plane& c)
{
    const auto& self = c.node_.self();
    for (auto& first : first_of_each_data_centre(c.node_.members(), self)) {
        if (first.data_centre_ == self.data_centre_)
            return first;
    }
    return self;
}


std::chrono::milliseconds load_report_age(const control_plane& c)
{
    // Through a relay, loads wait for its next sum as well.
    const int hops = c.loads_.direct_ ? 1 : 2;
    return hops * report_period(c);
}


void handle_loads(control_plane& c, const load_message& m)
{
    if (c.loads_.direct_)
        c.proxy_->set_peer_loads(m.sender_, m.loads_);
    else
        c.loads_.exchange_.set_daemon(
            m.sender_, m.loads_, base::boot_clock::now());
}


void handle_loads(control_plane& c, const data_centre_load_message& m)
{
    c.loads_.exchange_.set_data_centre(
        m.data_centre_, m.loads_, base::boot_clock::now());
}


void handle_loads(control_plane& c, const load_sum_message& m)
{
    if (c.loads_.direct_)
        return;
    c.proxy_->set_peer_loads(
        own_data_centre_loads,
        subtract(m.own_data_centre_, c.loads_.reported_));
    c.proxy_->set_peer_loads(other_data_centre_loads, m.other_data_centres_);
}


asio::awaitable<void> run_load_reports(control_plane& c)
{
    auto pending = std::make_shared<pending_demand>();
    pending->since_ = base::boot_clock::now();
    for (;;) {
        co_await sleep_for(c, report_period(c));
        c.proxy_->take_traffic_stats([&c, pending](relay::traffic_stats stats) {
            asio::post(c.context_, [&c, pending, stats = std::move(stats)] {
                record_connected(c, stats.connected_);
                report_loads(c, stats.loads_);
                report_demand(c, *pending, stats.demand_);
                report_paces(c, stats.paces_);
                exchange_state(c, stats);
            });
        });
    }
}

} // namespace monsoondock::entry::pvt

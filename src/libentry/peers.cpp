#include "control.hpp"

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
constexpr std::chrono::milliseconds work_period{1000};
constexpr std::size_t max_datagram_bytes = 65507;


template <class... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};
template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;


void send_bytes(
    control& c, const membership::endpoint& to, const std::string& bytes)
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


void take_event(control& c, const membership::member_event& event)
{
    if (const auto* changed = std::get_if<membership::member_changed>(&event)) {
        base::event_line("member_changed")
            .field("member", changed->record_.id_)
            .field("state", to_string(changed->record_.state_));
        publish_view(c);
    }
    if (const auto* pause = std::get_if<membership::pause_noticed>(&event))
        base::event_line("paused", base::severity::warning)
            .field("gap", pause->gap_);
}


void take_beat(control& c, const leader_beat& m)
{
    leader_state& l = c.leader_;
    if (m.term_ < l.term_)
        return;
    if (l.leading_ && m.term_ > l.term_) {
        base::event_line("leadership_lost", base::severity::warning)
            .field("to", m.leader_)
            .field("term", m.term_);
        l.leading_ = false;
        c.planners_.clear();
    }
    l.term_ = m.term_;
    l.leader_ = m.leader_;
    // A leader that stops says so by a beat without a name.
    l.resigned_ = m.leader_.value_.empty();
    l.heard_at_ = base::boot_clock::now();
    l.store_heard_at_ = l.heard_at_ - m.store_silence_;
    note_feed(c, m.position_);
}


void take_message(
    control& c, const peer_message& message, const membership::endpoint& from)
{
    const base::time_point now = base::boot_clock::now();
    std::visit(
        overloaded{
            [&](const membership_message& m) {
                take_output(c, c.node_.handle({from, m.body_}, now));
            },
            [&](const leader_beat& m) { take_beat(c, m); },
            [&](const doubt_message& m) {
                c.front_->mark_unhealthy(m.host_);
                check_group(c, m);
            },
            [&](const trust_message& m) {
                c.verdicts_[m.host_].answered_at_ = now;
                c.front_->mark_healthy(m.host_);
            },
            [&](const loads_message& m) {
                c.front_->set_peer_loads(m.sender_, m.loads_);
            },
            [&](const question_message& m) {
                c.front_->report_if_responsive(m.host_);
            },
            [&](const reach_question& m) { answer_reach(c, m); },
            [&](const reached_message& m) {
                c.verdicts_[m.host_].answered_at_ = now;
            },
            [&](const read_again_message&) {
                // A follower takes what the leader reads again.
                if (!follows_leader(c))
                    asio::co_spawn(c.context_, reread_hosts(c), asio::detached);
            },
            [&](const feed_message& m) { take_feed(c, m); },
            [&](const lost_host_message& m) { note_lost_host(c, m.host_); },
            [&](const work_message& m) { take_work(c, m); },
            [&](const crash_message& m) {
                c.front_->add_crash_report(m.report_);
            }},
        message);
}


/// What peers were told of this daemon's activity.
struct told_activity
{
    std::unordered_map<base::host_id, unsigned> loads_;
    relay::demand_table work_;
    base::time_point work_since_;
};


void tell_activity(
    control& c, told_activity& told, const relay::traffic_stats& a)
{
    if (a.loads_ != told.loads_) {
        told.loads_ = a.loads_;
        broadcast(c, loads_message{c.config_.daemon_, a.loads_});
    }
    for (const auto& [of, work] : a.demand_) {
        auto& sum = told.work_[of];
        sum.requests_ += work.requests_;
        sum.prompt_tokens_ += work.prompt_tokens_;
        sum.answer_tokens_ += work.answer_tokens_;
    }
    const base::time_point now = base::boot_clock::now();
    if (now - told.work_since_ < work_period)
        return;
    const work_message m{
        c.config_.daemon_,
        std::exchange(told.work_, {}),
        std::chrono::duration_cast<std::chrono::milliseconds>(
            now - told.work_since_)};
    told.work_since_ = now;
    take_work(c, m);
    broadcast(c, m);
}


asio::awaitable<void> receive_datagrams(control& c)
{
    std::string buffer(max_datagram_bytes, '\0');
    asio::ip::udp::endpoint from;
    for (;;) {
        const auto [failure, size] = co_await c.peer_socket_.async_receive_from(
            asio::buffer(buffer), from, base::await_tuple);
        if (failure == asio::error::operation_aborted)
            co_return;
        // A peer that is gone shows as a refused connection; go on.
        if (failure)
            continue;
        const auto message = decode(buffer.substr(0, size));
        if (message)
            take_message(
                c, *message, {from.address().to_v4().to_uint(), from.port()});
        else
            c.metrics_.add(
                metrics::counter::peer_datagrams_dropped,
                {"none", "malformed"});
    }
}

} // namespace

void take_output(control& c, const membership::node_output& out)
{
    for (const membership::datagram& d : out.datagrams_)
        send_bytes(c, d.peer_, encode(membership_message{d.body_}));
    for (const membership::member_event& event : out.events_)
        take_event(c, event);
}


void broadcast(control& c, const peer_message& m)
{
    const std::string bytes = encode(m);
    for (const auto& [id, member] : c.node_.members()) {
        if (member.record_.state_ != membership::member_state::dead)
            send_bytes(c, member.record_.peer_, bytes);
    }
}


asio::awaitable<void> run_peers(control& c)
{
    asio::co_spawn(c.context_, receive_datagrams(c), asio::detached);
    for (;;) {
        take_output(c, c.node_.tick(base::boot_clock::now()));
        co_await sleep_for(c, tick_period);
    }
}


asio::awaitable<void> run_load_reports(control& c)
{
    auto told = std::make_shared<told_activity>();
    told->work_since_ = base::boot_clock::now();
    for (;;) {
        co_await sleep_for(c, relay::load_report_period(live_daemons(c)));
        c.front_->take_traffic_stats([&c, told](relay::traffic_stats a) {
            asio::post(c.context_, [&c, told, a = std::move(a)] {
                tell_activity(c, *told, a);
            });
        });
    }
}

} // namespace monsoondock::entry::pvt

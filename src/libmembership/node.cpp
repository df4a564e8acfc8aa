#include "merge.hpp"
#include "message_codec.hpp"
#include "node_state.hpp"
#include "probe.hpp"
#include "send.hpp"
#include "suspicion.hpp"
#include "table_sync.hpp"

#include <monsoondock/membership/node.hpp>

#include <utility>

namespace monsoondock::membership {

namespace {

using pvt::step;


/// Sets the first due times. Random offsets for the probes keep nodes that
/// start together from probing in step.
void start_schedule(step& s)
{
    pvt::node_state& node = s.node_;
    if (node.last_step_)
        return;
    const node_config& config = node.config_;
    node.next_due_.probe_ =
        s.now_ + random_duration(node, config.probe_period_);
    node.next_due_.dead_probe_ =
        s.now_ + random_duration(node, config.dead_probe_period_);
    node.next_due_.sync_ = s.now_;
    node.next_due_.seed_ = s.now_;
    node.next_due_.urgent_ = s.now_;
    node.next_due_.load_ = s.now_;
    node.next_due_.expiry_ = s.now_;
}


void begin_step(step& s)
{
    start_schedule(s);
    detect_pause(s);
}


void dispatch_body(step& s, const pvt::message_body& body, const endpoint& from)
{
    if (const auto* const received = std::get_if<pvt::ping>(&body))
        handle_ping(s, *received, from);
    else if (const auto* const received = std::get_if<pvt::ack>(&body))
        handle_ack(s, *received);
    else if (const auto* const received = std::get_if<pvt::ping_request>(&body))
        handle_ping_request(s, *received, from);
    else if (const auto* const received = std::get_if<pvt::sync>(&body))
        handle_sync(s, *received, from);
}


void merge_message(step& s, const pvt::message& m, const endpoint& from)
{
    const bool is_sync = std::holds_alternative<pvt::sync>(m.body_);
    for (const member_record& record : m.records_) {
        s.forwards_updates_ = !is_sync || record.id_ == m.sender_.id_;
        merge_record(s, record);
    }
    s.forwards_updates_ = true;
    const bool needs_record = merge_sender(s, m.sender_, from);
    for (const pvt::status_row& row : m.rows_)
        merge_row(s, row);
    dispatch_body(s, m.body_, from);
    if (needs_record)
        request_record(s, m.sender_.id_, from);
}


void publish_status(step& s, const member_status& status)
{
    member_record& self = s.node_.self_;
    const std::uint32_t sequence = self.status_.sequence_ + 1;
    const bool mode_changed = self.status_.entry_mode_ != status.entry_mode_;
    self.status_ = status;
    self.status_.sequence_ = sequence;
    s.node_.pending_load_.reset();
    s.node_.next_due_.load_ = s.now_ + s.node_.config_.load_period_;
    if (mode_changed) {
        s.node_.updates_.requeue(self.id_);
        s.node_.urgent_ = true;
    }
    if (status.settings_revision_ > s.node_.highest_revision_) {
        s.node_.highest_revision_ = status.settings_revision_;
        s.node_.urgent_ = true;
    }
}


void publish_pending_load(step& s)
{
    if (!s.node_.pending_load_ || s.now_ < s.node_.next_due_.load_)
        return;
    member_status status = s.node_.self_.status_;
    status.load_permille_ = *s.node_.pending_load_;
    publish_status(s, status);
}


bool differs_in_more_than_load(const member_status& a, const member_status& b)
{
    return a.settings_revision_ != b.settings_revision_ ||
           a.entry_mode_ != b.entry_mode_;
}


void announce(step& s, member_state state)
{
    s.node_.self_.state_ = state;
    s.node_.updates_.requeue(s.node_.self_.id_);
    s.node_.urgent_ = true;
    s.node_.next_due_.urgent_ = s.now_;
    send_urgent_updates(s);
}

} // namespace

node::node(
    node_config config,
    member_record self,
    std::vector<endpoint> seeds,
    std::uint64_t random_seed)
    : state_(std::make_unique<pvt::node_state>())
{
    state_->config_ = config;
    state_->highest_revision_ = self.status_.settings_revision_;
    state_->self_ = std::move(self);
    state_->seeds_ = std::move(seeds);
    state_->random_.seed(random_seed);
    state_->updates_.requeue(state_->self_.id_);
}


node::node(node&&) noexcept = default;
node& node::operator=(node&&) noexcept = default;
node::~node() = default;


node_output node::handle(const datagram& received, base::time_point now)
{
    node_output out;
    step s{*state_, now, out};
    begin_step(s);
    const auto decoded = pvt::decode(received.body_);
    if (!decoded) {
        ++state_->counters_.datagrams_malformed_;
        return out;
    }
    ++state_->counters_.datagrams_handled_;
    if (decoded->sender_.id_ == state_->self_.id_)
        return out;
    merge_message(s, *decoded, received.peer_);
    send_urgent_updates(s);
    return out;
}


node_output node::tick(base::time_point now)
{
    node_output out;
    step s{*state_, now, out};
    begin_step(s);
    expire_members(s);
    publish_pending_load(s);
    sync_tables(s);
    advance_probe(s);
    probe_dead_member(s);
    send_urgent_updates(s);
    return out;
}


node_output node::set_status(member_status status, base::time_point now)
{
    node_output out;
    step s{*state_, now, out};
    begin_step(s);
    if (differs_in_more_than_load(status, state_->self_.status_))
        publish_status(s, status);
    else
        state_->pending_load_ = status.load_permille_;
    publish_pending_load(s);
    send_urgent_updates(s);
    return out;
}


node_output
node::notify(const std::vector<endpoint>& peers, base::time_point now)
{
    node_output out;
    step s{*state_, now, out};
    begin_step(s);
    for (const endpoint& peer : peers)
        pvt::send_to(s, peer, pvt::gossip{}, {});
    return out;
}


node_output node::leave(base::time_point now)
{
    node_output out;
    step s{*state_, now, out};
    begin_step(s);
    announce(s, member_state::leaving);
    return out;
}


node_output node::depart(base::time_point now)
{
    node_output out;
    step s{*state_, now, out};
    begin_step(s);
    announce(s, member_state::dead);
    return out;
}


void node::set_seeds(std::vector<endpoint> seeds)
{
    state_->seeds_ = std::move(seeds);
}


const member_record& node::self() const noexcept
{
    return state_->self_;
}


const member_table& node::members() const noexcept
{
    return state_->members_;
}


std::uint64_t node::highest_revision() const noexcept
{
    return state_->highest_revision_;
}


const node_counters& node::counters() const noexcept
{
    return state_->counters_;
}

} // namespace monsoondock::membership

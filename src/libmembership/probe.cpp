#include "probe.hpp"

#include "member_state_machine.hpp"
#include "merge.hpp"
#include "send.hpp"

#include <algorithm>

namespace monsoondock::membership::pvt {

namespace {

/// Largest number of concurrent probes on behalf of other nodes.
constexpr std::size_t MAX_RELAYED_PROBES = 64;


void shuffle_probe_order(node_state& node)
{
    node.probe_order_.clear();
    for (const auto& [id, other] : node.members_)
        node.probe_order_.push_back(id);
    std::shuffle(
        node.probe_order_.begin(), node.probe_order_.end(), node.random_);
    node.probe_position_ = 0;
}


/// Returns the next member that is not dead, or nullptr at the end of the
/// order.
const member* next_live_member(node_state& node)
{
    while (node.probe_position_ < node.probe_order_.size()) {
        const auto& id = node.probe_order_[node.probe_position_++];
        const auto found = node.members_.find(id);
        if (found == node.members_.end())
            continue;
        if (found->second.record_.state_ != member_state::dead)
            return &found->second;
    }
    return nullptr;
}


const member* next_target(node_state& node)
{
    const member* const target = next_live_member(node);
    if (target != nullptr)
        return target;
    shuffle_probe_order(node);
    return next_live_member(node);
}


void start_probe(step& s)
{
    node_state& node = s.node_;
    if (s.now_ < node.next_due_.probe_)
        return;
    node.next_due_.probe_ = s.now_ + node.config_.probe_period_;
    const member* const target = next_target(node);
    if (target == nullptr)
        return;
    const std::uint32_t sequence = ++node.last_sequence_;
    node.probe_ = pending_probe{target->record_.id_, sequence, s.now_, false};
    ++node.counters_.probes_;
    send(s, target->record_, ping{sequence, target->record_.id_});
}


void send_ping_requests(step& s)
{
    pending_probe& probe = *s.node_.probe_;
    probe.indirect_ = true;
    const auto helpers =
        random_live_members(s, s.node_.config_.indirect_probes_, probe.target_);
    for (const member* helper : helpers) {
        send(s, helper->record_, ping_request{probe.sequence_, probe.target_});
    }
}


void fail_probe(step& s)
{
    const base::daemon_id target = s.node_.probe_->target_;
    s.node_.probe_.reset();
    ++s.node_.counters_.probes_failed_;
    const auto found = s.node_.members_.find(target);
    if (found == s.node_.members_.end())
        return;
    const auto next = after_failed_probe(found->second.record_.state_);
    if (next)
        change_state(s, found->second, *next);
}


void drop_expired_relays(step& s)
{
    std::erase_if(s.node_.relayed_probes_, [&](const relayed_probe& relay) {
        return relay.expires_ <= s.now_;
    });
}

} // namespace

void advance_probe(step& s)
{
    drop_expired_relays(s);
    const node_config& config = s.node_.config_;
    if (s.node_.probe_) {
        const base::duration waited = s.now_ - s.node_.probe_->started_;
        if (waited >= config.probe_period_)
            fail_probe(s);
        else if (waited >= config.direct_timeout_ && !s.node_.probe_->indirect_)
            send_ping_requests(s);
    }
    if (!s.node_.probe_)
        start_probe(s);
}


void probe_dead_member(step& s)
{
    node_state& node = s.node_;
    if (s.now_ < node.next_due_.dead_probe_)
        return;
    node.next_due_.dead_probe_ = s.now_ + node.config_.dead_probe_period_;
    std::vector<const member*> dead;
    for (const auto& [id, other] : node.members_) {
        if (other.record_.state_ == member_state::dead)
            dead.push_back(&other);
    }
    if (dead.empty())
        return;
    std::uniform_int_distribution<std::size_t> any(0, dead.size() - 1);
    const member_record& target = dead[any(node.random_)]->record_;
    send(s, target, ping{++node.last_sequence_, target.id_});
}


void handle_ping(step& s, const ping& received, const endpoint& from)
{
    if (received.target_ != s.node_.self_.id_)
        return;
    send_to(s, from, ack{received.sequence_, s.node_.self_.id_}, {});
}


void handle_ack(step& s, const ack& received)
{
    node_state& node = s.node_;
    if (node.probe_ && node.probe_->sequence_ == received.sequence_ &&
        node.probe_->target_ == received.subject_) {
        node.probe_.reset();
        return;
    }
    const auto relay = std::find_if(
        node.relayed_probes_.begin(),
        node.relayed_probes_.end(),
        [&](const auto& r) { return r.sequence_ == received.sequence_; });
    if (relay == node.relayed_probes_.end())
        return;
    const relayed_probe found = *relay;
    node.relayed_probes_.erase(relay);
    send_to(
        s, found.origin_, ack{found.origin_sequence_, received.subject_}, {});
}


void handle_ping_request(
    step& s, const ping_request& received, const endpoint& from)
{
    node_state& node = s.node_;
    const auto found = node.members_.find(received.target_);
    if (found == node.members_.end())
        return;
    if (node.relayed_probes_.size() >= MAX_RELAYED_PROBES)
        return;
    const std::uint32_t sequence = ++node.last_sequence_;
    node.relayed_probes_.push_back(
        {sequence,
         received.sequence_,
         from,
         s.now_ + node.config_.probe_period_});
    send(s, found->second.record_, ping{sequence, received.target_});
}

} // namespace monsoondock::membership::pvt

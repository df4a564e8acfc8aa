#include "suspicion.hpp"

#include "member_state_machine.hpp"
#include "merge.hpp"

#include <algorithm>
#include <cmath>

namespace monsoondock::membership::pvt {

namespace {

void restart_suspicions(step& s)
{
    for (auto& [id, other] : s.node_.members_) {
        if (other.record_.state_ == member_state::suspect)
            other.state_changed_at_ = s.now_;
    }
}


bool retention_expired(const step& s, const member& other)
{
    return other.record_.state_ == member_state::dead &&
           s.now_ - other.state_changed_at_ >= s.node_.config_.dead_retention_;
}


void clean_up_removed_member(step& s, const base::daemon_id& id)
{
    s.node_.names_by_hash_.erase(name_hash(id));
    s.node_.updates_.erase(id);
    s.out_.events_.push_back(member_removed{id});
}

} // namespace

base::duration suspicion_timeout(const node_state& node)
{
    const double members = static_cast<double>(count_live_members(node));
    const double factor = std::max(1.0, std::log10(members));
    return std::chrono::duration_cast<base::duration>(
        node.config_.suspicion_base_ * factor);
}


void expire_members(step& s)
{
    if (s.now_ < s.node_.next_due_.expiry_)
        return;
    s.node_.next_due_.expiry_ = s.now_ + s.node_.config_.expiry_period_;
    const base::duration timeout = suspicion_timeout(s.node_);
    for (auto it = s.node_.members_.begin(); it != s.node_.members_.end();) {
        member& other = it->second;
        const bool expired = s.now_ - other.state_changed_at_ >= timeout;
        const auto next = other.record_.state_ == member_state::suspect
                              ? after_suspicion_timeout(other.record_.state_)
                              : std::nullopt;
        if (next && expired)
            change_state(s, other, *next);
        if (retention_expired(s, other)) {
            clean_up_removed_member(s, it->first);
            it = s.node_.members_.erase(it);
        } else {
            ++it;
        }
    }
}


void detect_pause(step& s)
{
    node_state& node = s.node_;
    const auto last = node.last_step_;
    node.last_step_ = s.now_;
    if (!last || !node.config_.safeguards_.detects_pauses_)
        return;
    const base::duration gap = s.now_ - *last;
    if (gap < node.config_.pause_threshold_)
        return;
    node.probe_.reset();
    node.relayed_probes_.clear();
    restart_suspicions(s);
    node.next_due_.sync_ = s.now_;
    node.next_due_.probe_ = s.now_;
    node.updates_.requeue(node.self_.id_);
    node.urgent_ = true;
    ++node.counters_.pauses_;
    s.out_.events_.emplace_back(
        std::in_place_type<pause_detected>, pause_detected{gap});
}

} // namespace monsoondock::membership::pvt

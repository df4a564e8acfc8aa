#include "suspicion.hpp"

#include "member_machine.hpp"
#include "merge.hpp"

#include <algorithm>
#include <cmath>

namespace monsoondock::membership::pvt {

namespace {

void start_suspicions_anew(step& s)
{
    for (auto& [id, other] : s.node_.members_) {
        if (other.record_.state_ == member_state::suspect)
            other.changed_ = s.now_;
    }
}


bool retention_is_over(const step& s, const member& other)
{
    return other.record_.state_ == member_state::dead &&
           s.now_ - other.changed_ >= s.node_.config_.dead_retention_;
}


void forget(step& s, const base::daemon_id& id)
{
    s.node_.names_.erase(name_hash(id));
    s.node_.updates_.erase(id);
    s.out_.events_.push_back(member_forgotten{id});
}

} // namespace

base::duration suspicion_timeout(const node_state& node)
{
    const double members = static_cast<double>(live_count(node));
    const double factor = std::max(1.0, std::log10(members));
    return std::chrono::duration_cast<base::duration>(
        node.config_.suspicion_base_ * factor);
}


void expire_members(step& s)
{
    if (s.now_ < s.node_.due_.expiry_)
        return;
    s.node_.due_.expiry_ = s.now_ + s.node_.config_.expiry_period_;
    const base::duration timeout = suspicion_timeout(s.node_);
    for (auto it = s.node_.members_.begin(); it != s.node_.members_.end();) {
        member& other = it->second;
        const bool expired = s.now_ - other.changed_ >= timeout;
        const auto next = other.record_.state_ == member_state::suspect
                              ? after_suspicion_timeout(other.record_.state_)
                              : std::nullopt;
        if (next && expired)
            change_state(s, other, *next);
        if (retention_is_over(s, other)) {
            forget(s, it->first);
            it = s.node_.members_.erase(it);
        } else {
            ++it;
        }
    }
}


void notice_pause(step& s)
{
    node_state& node = s.node_;
    const auto last = node.last_step_;
    node.last_step_ = s.now_;
    if (!last || !node.config_.safeguards_.notices_pauses_)
        return;
    const base::duration gap = s.now_ - *last;
    if (gap < node.config_.pause_threshold_)
        return;
    node.probe_.reset();
    node.relays_.clear();
    start_suspicions_anew(s);
    node.due_.sync_ = s.now_;
    node.due_.probe_ = s.now_;
    node.updates_.restart(node.self_.id_);
    node.urgent_ = true;
    ++node.counters_.pauses_;
    s.out_.events_.emplace_back(
        std::in_place_type<pause_detected>, pause_detected{gap});
}

} // namespace monsoondock::membership::pvt

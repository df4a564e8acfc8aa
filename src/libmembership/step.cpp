#include "step.hpp"

#include <algorithm>
#include <cmath>

namespace monsoondock::membership::pvt {

std::vector<const member*>
random_live_members(step& s, std::size_t count, const base::daemon_id& except)
{
    std::vector<const member*> live;
    for (const auto& [id, other] : s.node_.members_) {
        if (other.record_.state_ != member_state::dead && id != except)
            live.push_back(&other);
    }
    std::vector<const member*> chosen;
    std::sample(
        live.begin(),
        live.end(),
        std::back_inserter(chosen),
        count,
        s.node_.random_);
    return chosen;
}


std::size_t count_live_members(const node_state& node)
{
    std::size_t count = 1;
    for (const auto& [id, other] : node.members_)
        count += other.record_.state_ != member_state::dead;
    return count;
}


base::duration random_duration(node_state& node, base::duration limit)
{
    std::uniform_int_distribution<base::duration::rep> any(
        0, std::max<base::duration::rep>(limit.count() - 1, 0));
    return base::duration(any(node.random_));
}


void queue_update(step& s, const base::daemon_id& id)
{
    if (s.forwards_updates_)
        s.node_.updates_.requeue(id);
}


std::size_t transmit_limit(const node_state& node)
{
    const double members = static_cast<double>(node.members_.size()) + 2;
    const double rounds = std::ceil(std::log10(members));
    return node.config_.retransmit_factor_ * static_cast<std::size_t>(rounds);
}

} // namespace monsoondock::membership::pvt

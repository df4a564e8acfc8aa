#include "group_peers.hpp"

#include <monsoondock/groups/observers.hpp>

#include <algorithm>

namespace monsoondock::daemon {

std::vector<base::daemon_id> daemons_of(
    const control_state& control, const base::data_centre_id& data_centre)
{
    std::vector<base::daemon_id> daemons;
    if (control.config_.data_centre_ == data_centre)
        daemons.push_back(control.config_.daemon_);
    if (control.peers_ == nullptr)
        return daemons;
    for (const auto& [id, member] : control.peers_->node().members()) {
        const membership::member_record& record = member.record_;
        if (record.data_centre_ == data_centre &&
            record.state_ != membership::member_state::dead)
            daemons.push_back(id);
    }
    std::sort(daemons.begin(), daemons.end());
    return daemons;
}


std::vector<base::data_centre_id>
other_data_centres_of_region(const control_state& control)
{
    std::set<base::data_centre_id> found;
    if (control.peers_ == nullptr)
        return {};
    for (const auto& [id, member] : control.peers_->node().members()) {
        const membership::member_record& record = member.record_;
        if (record.region_ == control.config_.region_ &&
            record.data_centre_ != control.config_.data_centre_ &&
            record.state_ != membership::member_state::dead)
            found.insert(record.data_centre_);
    }
    return {found.begin(), found.end()};
}


base::data_centre_id
data_centre_of(const control_state& control, const groups::group_record& group)
{
    for (const base::host_id& host : group.hosts_) {
        const auto found = control.hosts_.find(host);
        if (found != control.hosts_.end())
            return found->second.data_centre_;
    }
    return {};
}


bool observes(const control_state& control, const groups::group_record& group)
{
    const auto daemons = daemons_of(control, data_centre_of(control, group));
    if (daemons.empty())
        return true;
    const auto observers = groups::observers_of(group.id_, daemons);
    return std::find(
               observers.begin(), observers.end(), control.config_.daemon_) !=
           observers.end();
}

} // namespace monsoondock::daemon

#include "group_demand.hpp"

#include <monsoondock/settings/effective.hpp>

#include <algorithm>
#include <iterator>
#include <set>

namespace monsoondock::daemon {

namespace {

/// Position of a domain among those of the data centre, ordered by name.
struct domain_position
{
    std::size_t index_ = 0;
    std::size_t count_ = 1;
};


domain_position
position_of(const control_state& control, const base::fabric_domain_id& domain)
{
    std::set<base::fabric_domain_id> domains{domain};
    for (const auto& [id, host] : control.hosts_) {
        if (host.kind_ == host_kind::model &&
            host.data_centre_ == control.config_.data_centre_)
            domains.insert(host.fabric_domain_);
    }
    const auto found = domains.find(domain);
    return {
        static_cast<std::size_t>(std::distance(domains.begin(), found)),
        domains.size()};
}


std::size_t share(std::uint64_t total, const domain_position& position)
{
    const std::uint64_t rest = total % position.count_;
    return total / position.count_ + (position.index_ < rest ? 1 : 0);
}


void add_deployment(
    const control_state& control,
    const base::deployment_id& deployment,
    const domain_position& position,
    domain_demand& demand)
{
    const auto found = settings::effective(
        *control.settings_,
        {control.config_.data_centre_, deployment, std::nullopt});
    if (!base::ok(found))
        return;
    const auto& values = base::value(found).deployment_;
    if (values.kind_.value_ != settings::deployment_kind::model)
        return;
    const std::size_t min_groups = share(values.min_groups_.value_, position);
    demand.deployments_.push_back(
        {deployment,
         static_cast<std::size_t>(values.hosts_per_group_.value_),
         min_groups,
         min_groups,
         share(values.max_groups_.value_, position)});
    demand.spare_hosts_ = std::max(
        demand.spare_hosts_, static_cast<std::size_t>(values.spares_.value_));
}

} // namespace

domain_demand domain_demand_of(
    const control_state& control, const base::fabric_domain_id& domain)
{
    domain_demand demand;
    if (control.settings_ == nullptr)
        return demand;
    const domain_position position = position_of(control, domain);
    for (const auto& [path, node] : control.settings_->nodes_) {
        const auto parts = settings::parse_path(path);
        if (parts && parts->level_ == settings::level::deployment)
            add_deployment(control, parts->deployment_, position, demand);
    }
    return demand;
}

} // namespace monsoondock::daemon

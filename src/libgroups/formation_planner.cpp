#include <monsoondock/groups/formation_planner.hpp>

#include <algorithm>

namespace monsoondock::groups {

namespace {

/// A deployment's demand and the number of its groups in the domain, planned
/// groups included.
struct deployment_groups
{
    deployment_demand demand_;
    std::size_t groups_ = 0;
};

/// The plan so far and what is left to plan with.
struct formation_draft
{
    /// Free hosts in the order of their names.
    std::vector<base::host_id> free_hosts_;
    std::uint64_t next_generation_ = 0;
    base::fabric_domain_id domain_;
    formation_plan plan_;
};


bool is_active_group(
    const group_record& group, const base::deployment_id& deployment)
{
    if (group.deployment_ != deployment)
        return false;
    return group.phase_ == group_phase::forming ||
           group.phase_ == group_phase::serving;
}


std::vector<deployment_groups>
count_groups(const domain_record& record, std::vector<deployment_demand> demand)
{
    std::sort(demand.begin(), demand.end(), [](const auto& a, const auto& b) {
        return a.deployment_ < b.deployment_;
    });
    std::vector<deployment_groups> deployments;
    for (deployment_demand& d : demand) {
        const auto groups = std::count_if(
            record.groups_.begin(),
            record.groups_.end(),
            [&](const group_record& g) {
                return is_active_group(g, d.deployment_);
            });
        deployments.push_back({std::move(d), static_cast<std::size_t>(groups)});
    }
    return deployments;
}


bool is_formable(const deployment_demand& demand)
{
    return demand.group_hosts_ > 0 && demand.group_hosts_ <= MAX_GROUP_HOSTS;
}


void form_group(formation_draft& draft, deployment_groups& deployment)
{
    const auto size =
        static_cast<std::ptrdiff_t>(deployment.demand_.group_hosts_);
    group_record group;
    group.generation_ = base::generation{draft.next_generation_++};
    group.id_ = base::group_id{
        draft.domain_.value_ + "-" + std::to_string(group.generation_.value_)};
    group.deployment_ = deployment.demand_.deployment_;
    group.hosts_.assign(
        draft.free_hosts_.begin(), draft.free_hosts_.begin() + size);
    draft.free_hosts_.erase(
        draft.free_hosts_.begin(), draft.free_hosts_.begin() + size);
    draft.plan_.new_groups_.push_back(std::move(group));
    ++deployment.groups_;
}


std::size_t
target_groups(const deployment_groups& deployment, bool minimum_only)
{
    if (minimum_only)
        return std::min(
            deployment.demand_.min_groups_, deployment.demand_.max_groups_);
    const auto wanted = std::max(
        deployment.demand_.wanted_groups_, deployment.demand_.min_groups_);
    return std::min(wanted, deployment.demand_.max_groups_);
}


/// Forms one group of each deployment in turn until no deployment can get
/// another.
void form_groups(
    formation_draft& draft,
    std::vector<deployment_groups>& deployments,
    bool minimum_only,
    std::size_t spare_hosts)
{
    bool formed = true;
    while (formed) {
        formed = false;
        for (deployment_groups& deployment : deployments) {
            if (!is_formable(deployment.demand_) ||
                deployment.groups_ >= target_groups(deployment, minimum_only))
                continue;
            if (draft.free_hosts_.size() <
                deployment.demand_.group_hosts_ + spare_hosts)
                continue;
            form_group(draft, deployment);
            formed = true;
        }
    }
}


void find_surplus(
    const domain_record& record,
    const deployment_groups& deployment,
    formation_plan& plan)
{
    std::size_t groups = deployment.groups_;
    const std::size_t wanted = target_groups(deployment, false);
    // The newest groups are retired first, which keeps long-lived caches.
    for (auto g = record.groups_.rbegin(); g != record.groups_.rend(); ++g) {
        if (groups <= wanted)
            return;
        if (!is_active_group(*g, deployment.demand_.deployment_))
            continue;
        plan.surplus_.push_back(g->id_);
        --groups;
    }
}

} // namespace

formation_plan plan_formation(
    const domain_record& record,
    std::vector<base::host_id> free_hosts,
    std::vector<deployment_demand> demand,
    std::size_t spare_hosts)
{
    std::vector<deployment_groups> deployments =
        count_groups(record, std::move(demand));
    std::sort(free_hosts.begin(), free_hosts.end());
    formation_draft draft{
        std::move(free_hosts),
        record.next_generation_.value_,
        record.domain_,
        {}};
    for (const deployment_groups& deployment : deployments)
        find_surplus(record, deployment, draft.plan_);
    form_groups(draft, deployments, true, 0);
    form_groups(draft, deployments, false, spare_hosts);
    return std::move(draft.plan_);
}


domain_record
with_new_groups(const domain_record& record, const formation_plan& plan)
{
    domain_record next = record;
    for (const group_record& group : plan.new_groups_) {
        next.groups_.push_back(group);
        next.next_generation_ = base::generation{group.generation_.value_ + 1};
    }
    return next;
}

} // namespace monsoondock::groups

#include <monsoondock/groups/formation_planner.hpp>

#include <algorithm>

namespace monsoondock::groups {

namespace {

/// A deployment's groups in the domain while the plan grows.
struct tally
{
    deployment_demand demand_;
    std::size_t groups_ = 0;
};

/// Free hosts in name order and the plan made of them so far.
struct workbench
{
    std::vector<base::host_id> free_;
    std::uint64_t next_ = 0;
    base::fabric_domain_id domain_;
    formation_plan plan_;
};


bool counts(const group_record& group, const base::deployment_id& deployment)
{
    if (group.deployment_ != deployment)
        return false;
    return group.phase_ == group_phase::forming ||
           group.phase_ == group_phase::serving;
}


std::vector<tally>
make_tallies(const domain_record& record, std::vector<deployment_demand> demand)
{
    std::sort(demand.begin(), demand.end(), [](const auto& a, const auto& b) {
        return a.deployment_ < b.deployment_;
    });
    std::vector<tally> tallies;
    for (deployment_demand& d : demand) {
        const auto groups = std::count_if(
            record.groups_.begin(),
            record.groups_.end(),
            [&](const group_record& g) { return counts(g, d.deployment_); });
        tallies.push_back({std::move(d), static_cast<std::size_t>(groups)});
    }
    return tallies;
}


bool is_formable(const deployment_demand& demand)
{
    return demand.group_hosts_ > 0 && demand.group_hosts_ <= MAX_GROUP_HOSTS;
}


void form_one(workbench& bench, tally& t)
{
    const auto size = static_cast<std::ptrdiff_t>(t.demand_.group_hosts_);
    group_record group;
    group.generation_ = base::generation{bench.next_++};
    group.id_ = base::group_id{
        bench.domain_.value_ + "-" + std::to_string(group.generation_.value_)};
    group.deployment_ = t.demand_.deployment_;
    group.hosts_.assign(bench.free_.begin(), bench.free_.begin() + size);
    bench.free_.erase(bench.free_.begin(), bench.free_.begin() + size);
    bench.plan_.formed_.push_back(std::move(group));
    ++t.groups_;
}


std::size_t target(const tally& t, bool minimum_only)
{
    if (minimum_only)
        return std::min(t.demand_.min_groups_, t.demand_.max_groups_);
    const auto wanted =
        std::max(t.demand_.wanted_groups_, t.demand_.min_groups_);
    return std::min(wanted, t.demand_.max_groups_);
}


/// Forms one group of each deployment in turn until none can get another.
void form_all(
    workbench& bench,
    std::vector<tally>& tallies,
    bool minimum_only,
    std::size_t spare_hosts)
{
    bool formed = true;
    while (formed) {
        formed = false;
        for (tally& t : tallies) {
            if (!is_formable(t.demand_) || t.groups_ >= target(t, minimum_only))
                continue;
            if (bench.free_.size() < t.demand_.group_hosts_ + spare_hosts)
                continue;
            form_one(bench, t);
            formed = true;
        }
    }
}


void find_surplus(
    const domain_record& record, const tally& t, formation_plan& plan)
{
    std::size_t groups = t.groups_;
    const std::size_t wanted = target(t, false);
    // Later generations go first, so that long-lived caches stay.
    for (auto g = record.groups_.rbegin(); g != record.groups_.rend(); ++g) {
        if (groups <= wanted)
            return;
        if (!counts(*g, t.demand_.deployment_))
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
    std::vector<tally> tallies = make_tallies(record, std::move(demand));
    std::sort(free_hosts.begin(), free_hosts.end());
    workbench bench{
        std::move(free_hosts), record.next_.value_, record.domain_, {}};
    for (const tally& t : tallies)
        find_surplus(record, t, bench.plan_);
    form_all(bench, tallies, true, 0);
    form_all(bench, tallies, false, spare_hosts);
    return std::move(bench.plan_);
}


domain_record
with_formed(const domain_record& record, const formation_plan& plan)
{
    domain_record next = record;
    for (const group_record& group : plan.formed_) {
        next.groups_.push_back(group);
        next.next_ = base::generation{group.generation_.value_ + 1};
    }
    return next;
}

} // namespace monsoondock::groups

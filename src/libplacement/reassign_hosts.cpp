#include "reassign_hosts.hpp"

#include "candidates.hpp"
#include "supply.hpp"

#include <monsoondock/base/event_line.hpp>

#include <algorithm>

namespace monsoondock::placement::pvt {

namespace {

// Most groups that are closed to form one new group.
constexpr std::size_t max_groups_to_close = 2;
// Approximate time for which a closing group serves no requests.
constexpr std::chrono::milliseconds expected_close_time{1500};
// A reassignment that has not led to a group within this time has failed.
constexpr std::chrono::milliseconds reassignment_timeout{6000};
// Smaller gains do not justify the requests that closing a group disrupts.
constexpr double min_gain = 5;
// Closing two groups is justified only by a clear shortage of the model.
constexpr double min_gain_of_two_groups = 40;


/// Groups of one domain that could be closed to form a group of another model.
struct reassignment_plan
{
    std::vector<formation*> groups_to_close_;
    const catalog::model* receiving_model_ = nullptr;
    double value_ = 0;
};


std::size_t count_members_with_weights(
    const planning_step& step, const formation& f, const catalog::model& m)
{
    std::size_t count = 0;
    for (const base::host_id& id : f.members_) {
        const fleet::host_info* h = find_host(step, id);
        count += h != nullptr && has_weights(step, *h, m) ? 1 : 0;
    }
    return count;
}


// Returns the fewest groups of the domain whose members supply the missing
// hosts with the model's weights, or none when max_groups_to_close are not
// enough.
std::vector<formation*> choose_groups_to_close(
    planning_step& step,
    const base::fabric_domain_id& domain,
    std::size_t missing,
    const catalog::model& m)
{
    std::vector<std::pair<std::size_t, formation*>> eligible;
    for (auto& [key, f] : step.state_.formations_) {
        if (f.domain_ != domain || f.model_ == m.name_ ||
            f.phase_ != formation_phase::serving || is_evacuated(step, f))
            continue;
        const std::size_t usable = count_members_with_weights(step, f, m);
        if (usable > 0)
            eligible.emplace_back(usable, &f);
    }
    std::stable_sort(eligible.begin(), eligible.end(), [](auto& a, auto& b) {
        return a.first > b.first;
    });
    std::vector<formation*> groups_to_close;
    for (const auto& [usable, f] : eligible) {
        if (missing == 0 || groups_to_close.size() == max_groups_to_close)
            break;
        groups_to_close.push_back(f);
        missing -= std::min(missing, usable);
    }
    return missing == 0 ? groups_to_close : std::vector<formation*>();
}


double closing_loss(
    const planning_step& step, const std::vector<formation*>& groups_to_close)
{
    const catalog::model* closing_model =
        find_model(step, groups_to_close.front()->model_);
    double hosts = 0;
    for (const formation* f : groups_to_close)
        hosts += double(f->members_.size());
    return closing_model == nullptr
               ? 0
               : -shortage_reduction(step, *closing_model, -hosts);
}


// Returns the gain that the domain's free hosts bring without closing a group.
double gain_without_closing(
    const planning_step& step,
    const base::fabric_domain_id& domain,
    const host_list& hosts)
{
    double best = 0;
    for (const catalog::model& m : step.input_.engine_->models_) {
        const auto c = best_of_domain(step, domain, hosts, m);
        if (c)
            best = std::max(
                best,
                shortage_reduction(step, m, m.group_size_) *
                    remaining_horizon_s(step, c->time_));
    }
    return best;
}


void consider_reassignment(
    planning_step& step,
    const base::fabric_domain_id& domain,
    const host_list& hosts,
    const catalog::model& m,
    reassignment_plan& best)
{
    std::size_t missing = m.group_size_;
    for (const fleet::host_info* h : hosts)
        missing -= missing > 0 && has_weights(step, *h, m) ? 1 : 0;
    if (missing == 0)
        return;
    auto groups_to_close = choose_groups_to_close(step, domain, missing, m);
    if (groups_to_close.empty())
        return;
    const double gain =
        shortage_reduction(step, m, m.group_size_) *
        remaining_horizon_s(step, expected_close_time + m.warm_join_time_);
    const double loss =
        closing_loss(step, groups_to_close) * remaining_horizon_s(step, {});
    const double value =
        gain - loss - gain_without_closing(step, domain, hosts);
    const double min_value =
        groups_to_close.size() > 1 ? min_gain_of_two_groups : min_gain;
    if (value > std::max(best.value_, min_value))
        best = {std::move(groups_to_close), &m, value};
}


// The members of a dissolving group are about to become free.
void add_remaining_members(
    const planning_step& step, const formation& f, host_list& hosts)
{
    for (std::size_t i = 0; i < f.members_.size(); ++i) {
        const base::host_id& id = f.members_[i];
        if (is_usable(step, id) &&
            !has_left(step.state_, id, f.process_start_ms_[i], f.key_))
            hosts.push_back(find_host(step, id));
    }
}


bool is_evacuated(
    const planning_step& step, const base::fabric_domain_id& domain)
{
    const auto& evacuated = step.input_.evacuated_;
    return !evacuated.empty() &&
           std::any_of(
               step.hosts_.begin(), step.hosts_.end(), [&](const auto& entry) {
                   return entry.second.domain_ == domain &&
                          evacuated.contains(entry.second.data_centre_);
               });
}


// A reassignment ends when the receiving group forms, the timeout expires or
// its data centre is evacuated.
void remove_finished_reassignments(planning_step& step)
{
    std::erase_if(step.state_.reassignments_, [&](const auto& r) {
        if (step.input_.now_ - r.started_at_ > reassignment_timeout ||
            is_evacuated(step, r.domain_))
            return true;
        return std::any_of(
            step.state_.formations_.begin(),
            step.state_.formations_.end(),
            [&](const auto& e) {
                return e.second.domain_ == r.domain_ &&
                       e.second.model_ == r.model_ &&
                       e.second.phase_ == formation_phase::joining;
            });
    });
}

} // namespace

bool has_closing_group(
    const planning_step& step, const base::fabric_domain_id& domain)
{
    return std::any_of(
        step.state_.formations_.begin(),
        step.state_.formations_.end(),
        [&](const auto& e) {
            return e.second.domain_ == domain &&
                   e.second.phase_ == formation_phase::closing;
        });
}


bool is_reserved_for_other_model(
    const planning_step& step,
    const base::fabric_domain_id& domain,
    const catalog::model& m)
{
    return std::any_of(
        step.state_.reassignments_.begin(),
        step.state_.reassignments_.end(),
        [&](const auto& r) {
            return r.domain_ == domain && r.model_ != m.name_;
        });
}


void reassign_hosts(planning_step& step, const free_by_domain& free)
{
    if (step.input_.before_traffic_)
        return;
    remove_finished_reassignments(step);
    free_by_domain domains = free;
    for (const auto& [key, f] : step.state_.formations_) {
        host_list& hosts = domains[f.domain_];
        if (f.phase_ == formation_phase::dissolving)
            add_remaining_members(step, f, hosts);
    }
    reassignment_plan best;
    for (const auto& [domain, hosts] : domains) {
        if (has_closing_group(step, domain))
            continue;
        for (const catalog::model& m : step.input_.engine_->models_)
            consider_reassignment(step, domain, hosts, m, best);
    }
    if (!best.groups_to_close_.empty())
        step.state_.reassignments_.push_back(
            {best.groups_to_close_.front()->domain_,
             best.receiving_model_->name_,
             step.input_.now_});
    for (formation* closing_group : best.groups_to_close_) {
        base::event_line("group_closing")
            .field("group", closing_group->key_.name_)
            .field("reason", "hosts_for_other_model")
            .field("receiving_model", best.receiving_model_->name_)
            .field("gain", best.value_);
        set_phase(step, *closing_group, formation_phase::closing);
        send_group_order(
            step,
            *closing_group,
            closing_group->members_.front(),
            order_kind::close);
    }
}

} // namespace monsoondock::placement::pvt

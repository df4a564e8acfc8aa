#include "member_state.hpp"

#include <monsoondock/groups/domain_leader.hpp>
#include <monsoondock/groups/formation_planner.hpp>
#include <monsoondock/groups/group_lifecycle.hpp>

#include <algorithm>
#include <set>

namespace monsoondock::groups {

namespace {

using pvt::member_state;

/// Input, state and result shared by the functions of one step.
struct step_context
{
    term_state& term_state_;
    const leader_input& input_;
    const group_timing& timing_;
    domain_record next_record_;
    leader_step step_;
};


tracked_group& track_group(step_context& c, const group_record& group)
{
    const auto [it, inserted] = c.term_state_.groups_.try_emplace(group.id_);
    tracked_group& tracked = it->second;
    if (inserted || tracked.phase_ != group.phase_) {
        tracked.phase_ = group.phase_;
        tracked.since_ = c.input_.now_;
        tracked.retirement_ = retirement{c.input_.now_, std::nullopt, {}};
    }
    return tracked;
}


void erase_removed_groups(step_context& c)
{
    std::erase_if(c.term_state_.groups_, [&](const auto& entry) {
        return std::none_of(
            c.input_.record_.groups_.begin(),
            c.input_.record_.groups_.end(),
            [&](const group_record& g) { return g.id_ == entry.first; });
    });
}


void apply_event(group_record& group, group_event event)
{
    if (const auto phase = next_phase(group.phase_, event))
        group.phase_ = *phase;
}


void add_load_order(
    step_context& c, const group_record& group, std::size_t rank)
{
    const base::host_id& host = group.hosts_[rank];
    const host_contact contact = c.input_.contacts_.find(host);
    if (contact.report_ &&
        holds(*contact.report_, group.id_, group.generation_))
        return;
    c.step_.orders_.push_back(host_order{
        order_kind::load,
        host,
        group.id_,
        group.generation_,
        group.deployment_,
        rank,
        group.hosts_});
}


void add_unload_order(
    step_context& c,
    const base::host_id& host,
    const base::group_id& group,
    base::generation generation)
{
    c.step_.orders_.push_back(
        host_order{order_kind::unload, host, group, generation, {}, 0, {}});
}


/// Summary of the member states of one group.
struct member_counts
{
    std::size_t ready_ = 0;
    bool any_leaving_ = false;
    bool any_lost_ = false;
};


member_counts count_members(
    const step_context& c,
    const group_record& group,
    const tracked_group& tracked)
{
    member_counts counts;
    for (const base::host_id& host : group.hosts_) {
        switch (
            pvt::classify_member(c.input_, group, tracked, host, c.timing_)) {
        case member_state::ready:
            ++counts.ready_;
            break;
        case member_state::pending:
            break;
        case member_state::leaving:
            counts.any_leaving_ = true;
            break;
        case member_state::lost:
            counts.any_lost_ = true;
            break;
        }
    }
    return counts;
}


void step_forming(step_context& c, group_record& group, tracked_group& tracked)
{
    for (const base::host_id& host : group.hosts_)
        c.step_.probes_.push_back(host);
    const member_counts counts = count_members(c, group, tracked);
    const bool overdue =
        c.input_.now_ - tracked.since_ > c.timing_.formation_timeout_;
    if (counts.any_lost_ || overdue)
        return apply_event(group, group_event::member_lost);
    if (counts.any_leaving_)
        return apply_event(group, group_event::retire_requested);
    if (counts.ready_ == group.hosts_.size())
        return apply_event(group, group_event::all_ready);
    for (std::size_t rank = 0; rank < group.hosts_.size(); ++rank)
        add_load_order(c, group, rank);
}


/// Probes the members for which the observers give no current evidence.
void probe_stale_members(step_context& c, const group_record& group)
{
    const base::time_point limit = c.input_.now_ - c.timing_.dispatch_lease_;
    for (const base::host_id& host : group.hosts_) {
        const auto observed_at =
            c.input_.evidence_.last_ready(host, group.id_, group.generation_);
        if (!observed_at || *observed_at < limit)
            c.step_.probes_.push_back(host);
    }
}


void step_serving(step_context& c, group_record& group, tracked_group& tracked)
{
    probe_stale_members(c, group);
    const member_counts counts = count_members(c, group, tracked);
    if (counts.any_lost_) {
        tracked.skip_drain_ = true;
        return apply_event(group, group_event::member_lost);
    }
    if (counts.any_leaving_)
        apply_event(group, group_event::retire_requested);
}


bool checks_generation(const leader_input& input, const group_record& group)
{
    return std::all_of(
        group.hosts_.begin(), group.hosts_.end(), [&](const auto& id) {
            const host_view* host = pvt::find_host(input, id);
            return host != nullptr && host->checks_generation_;
        });
}


/// Returns true when no request can be running any more, or when waiting for
/// running requests is pointless or has timed out.
bool may_unload(
    const step_context& c,
    const group_record& group,
    const tracked_group& tracked)
{
    const base::time_point orders_expired_at =
        tracked.since_ + c.timing_.order_timeout_;
    if (tracked.skip_drain_ || tracked.retirement_.first_unloaded_at_)
        return true;
    if (c.input_.now_ - tracked.since_ > c.timing_.drain_timeout_)
        return true;
    for (const base::host_id& host : group.hosts_) {
        if (c.input_.contacts_.find(host).failed_probe_at_)
            return c.input_.now_ > orders_expired_at;
    }
    const host_contact head = c.input_.contacts_.find(group.hosts_.front());
    return head.report_ && head.report_->sent_at_ >= orders_expired_at &&
           head.report_->running_ == 0;
}


void step_retiring(step_context& c, group_record& group, tracked_group& tracked)
{
    for (const base::host_id& host : group.hosts_)
        c.step_.probes_.push_back(host);
    update_retirement(
        tracked.retirement_, group, c.input_.contacts_, c.timing_);
    if (may_release(
            tracked.retirement_,
            group,
            checks_generation(c.input_, group),
            c.input_.now_,
            c.timing_))
        return apply_event(group, group_event::hosts_released);
    if (!may_unload(c, group, tracked))
        return;
    for (const base::host_id& host : group.hosts_) {
        const host_contact contact = c.input_.contacts_.find(host);
        if (!contact.report_ ||
            holds(*contact.report_, group.id_, group.generation_))
            add_unload_order(c, host, group.id_, group.generation_);
    }
}


void step_groups(step_context& c)
{
    for (group_record& group : c.next_record_.groups_) {
        tracked_group& tracked = track_group(c, group);
        switch (group.phase_) {
        case group_phase::forming:
            step_forming(c, group, tracked);
            break;
        case group_phase::serving:
            step_serving(c, group, tracked);
            break;
        case group_phase::retiring:
            step_retiring(c, group, tracked);
            break;
        case group_phase::retired:
            break;
        }
    }
}


std::set<base::host_id> assigned_hosts(const domain_record& record)
{
    std::set<base::host_id> assigned;
    for (const group_record& group : record.groups_) {
        if (group.phase_ != group_phase::retired)
            assigned.insert(group.hosts_.begin(), group.hosts_.end());
    }
    return assigned;
}


/// Returns the live idle hosts that are assigned to no group and not leaving. A
/// host that still holds a group that it is not assigned to is ordered to
/// unload it first.
std::vector<base::host_id> collect_free_hosts(step_context& c)
{
    const std::set<base::host_id> assigned = assigned_hosts(c.input_.record_);
    const base::time_point since = c.input_.now_ - c.timing_.contact_lifetime_;
    std::vector<base::host_id> free;
    for (const host_view& host : c.input_.hosts_) {
        if (assigned.contains(host.id_))
            continue;
        c.step_.probes_.push_back(host.id_);
        const host_contact contact = c.input_.contacts_.find(host.id_);
        if (!contact.report_ || contact.failed_probe_at_ ||
            contact.report_->sent_at_ < since)
            continue;
        if (contact.report_->phase_ != engine_phase::idle)
            add_unload_order(
                c,
                host.id_,
                contact.report_->group_,
                contact.report_->generation_);
        else if (!host.leaving_)
            free.push_back(host.id_);
    }
    return free;
}


void retire_surplus(step_context& c, const formation_plan& plan)
{
    const std::set<base::group_id> surplus(
        plan.surplus_.begin(), plan.surplus_.end());
    for (group_record& group : c.next_record_.groups_) {
        if (surplus.contains(group.id_))
            apply_event(group, group_event::retire_requested);
    }
    std::erase_if(c.step_.orders_, [&](const host_order& order) {
        return surplus.contains(order.group_);
    });
}


void remove_retired(step_context& c)
{
    // check_change refuses to remove a group before the store holds it as
    // retired.
    std::erase_if(c.next_record_.groups_, [&](const group_record& g) {
        return std::any_of(
            c.input_.record_.groups_.begin(),
            c.input_.record_.groups_.end(),
            [&](const group_record& stored) {
                return stored.id_ == g.id_ &&
                       stored.phase_ == group_phase::retired;
            });
    });
}


void plan_formations(step_context& c, std::vector<base::host_id> free_hosts)
{
    const formation_plan plan = plan_formation(
        c.next_record_,
        std::move(free_hosts),
        c.input_.demand_,
        c.input_.spare_hosts_);
    retire_surplus(c, plan);
    c.next_record_ = with_new_groups(c.next_record_, plan);
}

} // namespace

leader_step plan_step(
    term_state& state,
    const leadership& lead,
    const leader_input& input,
    const group_timing& timing)
{
    if (!may_act(lead, input.now_))
        return {};
    step_context c{state, input, timing, input.record_, {}};
    erase_removed_groups(c);
    step_groups(c);
    std::vector<base::host_id> free_hosts = collect_free_hosts(c);
    // A leader that reaches no host can be isolated itself, so it must not
    // treat the members as lost.
    if (!pvt::reached_any_host(input, timing)) {
        c.step_.orders_.clear();
        return std::move(c.step_);
    }
    plan_formations(c, std::move(free_hosts));
    if (!(c.next_record_ == input.record_)) {
        remove_retired(c);
        c.step_.write_ = std::move(c.next_record_);
    }
    return std::move(c.step_);
}

} // namespace monsoondock::groups

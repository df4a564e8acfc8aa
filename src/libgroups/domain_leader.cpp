#include "member_state.hpp"

#include <monsoondock/groups/domain_leader.hpp>
#include <monsoondock/groups/formation_planner.hpp>
#include <monsoondock/groups/group_lifecycle.hpp>

#include <algorithm>
#include <set>

namespace monsoondock::groups {

namespace {

using pvt::member_state;

/// Everything that the functions of one step share.
struct step_context
{
    leader_memory& memory_;
    const leader_input& input_;
    const group_timing& timing_;
    domain_record next_;
    leader_step step_;
};


group_watch& watch_of(step_context& c, const group_record& group)
{
    const auto [it, fresh] = c.memory_.groups_.try_emplace(group.id_);
    group_watch& watch = it->second;
    if (fresh || watch.phase_ != group.phase_) {
        watch.phase_ = group.phase_;
        watch.since_ = c.input_.now_;
        watch.retirement_ = retirement{c.input_.now_, std::nullopt, {}};
    }
    return watch;
}


void forget_old_groups(step_context& c)
{
    std::erase_if(c.memory_.groups_, [&](const auto& entry) {
        return std::none_of(
            c.input_.record_.groups_.begin(),
            c.input_.record_.groups_.end(),
            [&](const group_record& g) { return g.id_ == entry.first; });
    });
}


void apply(group_record& group, group_event event)
{
    if (const auto phase = next_phase(group.phase_, event))
        group.phase_ = *phase;
}


void order_load(step_context& c, const group_record& group, std::size_t rank)
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


void order_unload(
    step_context& c,
    const base::host_id& host,
    const base::group_id& group,
    base::generation generation)
{
    c.step_.orders_.push_back(
        host_order{order_kind::unload, host, group, generation, {}, 0, {}});
}


/// The conditions of all members of one group.
struct member_tally
{
    std::size_t ready_ = 0;
    bool any_leaving_ = false;
    bool any_lost_ = false;
};


member_tally tally_members(
    const step_context& c, const group_record& group, const group_watch& watch)
{
    member_tally tally;
    for (const base::host_id& host : group.hosts_) {
        switch (pvt::judge_member(c.input_, group, watch, host, c.timing_)) {
        case member_state::ready:
            ++tally.ready_;
            break;
        case member_state::pending:
            break;
        case member_state::leaving:
            tally.any_leaving_ = true;
            break;
        case member_state::lost:
            tally.any_lost_ = true;
            break;
        }
    }
    return tally;
}


void step_forming(step_context& c, group_record& group, group_watch& watch)
{
    for (const base::host_id& host : group.hosts_)
        c.step_.probes_.push_back(host);
    const member_tally tally = tally_members(c, group, watch);
    const bool overdue =
        c.input_.now_ - watch.since_ > c.timing_.formation_timeout_;
    if (tally.any_lost_ || overdue)
        return apply(group, group_event::member_lost);
    if (tally.any_leaving_)
        return apply(group, group_event::retire_asked);
    if (tally.ready_ == group.hosts_.size())
        return apply(group, group_event::all_ready);
    for (std::size_t rank = 0; rank < group.hosts_.size(); ++rank)
        order_load(c, group, rank);
}


/// Members that the observers have not seen lately are asked directly.
void probe_unseen(step_context& c, const group_record& group)
{
    const base::time_point limit = c.input_.now_ - c.timing_.dispatch_lease_;
    for (const base::host_id& host : group.hosts_) {
        const auto seen =
            c.input_.evidence_.last_ready(host, group.id_, group.generation_);
        if (!seen || *seen < limit)
            c.step_.probes_.push_back(host);
    }
}


void step_serving(step_context& c, group_record& group, group_watch& watch)
{
    probe_unseen(c, group);
    const member_tally tally = tally_members(c, group, watch);
    if (tally.any_lost_) {
        watch.urgent_ = true;
        return apply(group, group_event::member_lost);
    }
    if (tally.any_leaving_)
        apply(group, group_event::retire_asked);
}


bool checks_generation(const leader_input& input, const group_record& group)
{
    return std::all_of(
        group.hosts_.begin(), group.hosts_.end(), [&](const auto& id) {
            const host_view* host = pvt::find_host(input, id);
            return host != nullptr && host->checks_generation_;
        });
}


/// True when nothing can be running any longer, or waiting for it is vain.
bool may_unload(
    const step_context& c, const group_record& group, const group_watch& watch)
{
    const base::time_point settled = watch.since_ + c.timing_.order_timeout_;
    if (watch.urgent_ || watch.retirement_.let_go_)
        return true;
    if (c.input_.now_ - watch.since_ > c.timing_.drain_timeout_)
        return true;
    for (const base::host_id& host : group.hosts_) {
        if (c.input_.contacts_.find(host).failed_)
            return c.input_.now_ > settled;
    }
    const host_contact head = c.input_.contacts_.find(group.hosts_.front());
    return head.report_ && head.report_->sent_at_ >= settled &&
           head.report_->running_ == 0;
}


void step_retiring(step_context& c, group_record& group, group_watch& watch)
{
    for (const base::host_id& host : group.hosts_)
        c.step_.probes_.push_back(host);
    note_members(watch.retirement_, group, c.input_.contacts_, c.timing_);
    if (may_release(
            watch.retirement_,
            group,
            checks_generation(c.input_, group),
            c.input_.now_,
            c.timing_))
        return apply(group, group_event::hosts_released);
    if (!may_unload(c, group, watch))
        return;
    for (const base::host_id& host : group.hosts_) {
        const host_contact contact = c.input_.contacts_.find(host);
        if (!contact.report_ ||
            holds(*contact.report_, group.id_, group.generation_))
            order_unload(c, host, group.id_, group.generation_);
    }
}


void step_groups(step_context& c)
{
    for (group_record& group : c.next_.groups_) {
        group_watch& watch = watch_of(c, group);
        switch (group.phase_) {
        case group_phase::forming:
            step_forming(c, group, watch);
            break;
        case group_phase::serving:
            step_serving(c, group, watch);
            break;
        case group_phase::retiring:
            step_retiring(c, group, watch);
            break;
        case group_phase::retired:
            break;
        }
    }
}


std::set<base::host_id> bound_hosts(const domain_record& record)
{
    std::set<base::host_id> bound;
    for (const group_record& group : record.groups_) {
        if (group.phase_ != group_phase::retired)
            bound.insert(group.hosts_.begin(), group.hosts_.end());
    }
    return bound;
}


/// Returns the live idle hosts of no group; a host that still holds a group
/// whose place was given away is told to drop it first.
std::vector<base::host_id> collect_free_hosts(step_context& c)
{
    const std::set<base::host_id> bound = bound_hosts(c.input_.record_);
    const base::time_point since = c.input_.now_ - c.timing_.contact_lifetime_;
    std::vector<base::host_id> free;
    for (const host_view& host : c.input_.hosts_) {
        if (bound.contains(host.id_))
            continue;
        c.step_.probes_.push_back(host.id_);
        const host_contact contact = c.input_.contacts_.find(host.id_);
        if (!contact.report_ || contact.failed_ ||
            contact.report_->sent_at_ < since)
            continue;
        if (contact.report_->phase_ != engine_phase::idle)
            order_unload(
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
    for (group_record& group : c.next_.groups_) {
        if (surplus.contains(group.id_))
            apply(group, group_event::retire_asked);
    }
    std::erase_if(c.step_.orders_, [&](const host_order& order) {
        return surplus.contains(order.group_);
    });
}


void drop_retired(step_context& c)
{
    // Only what the store already holds as retired may be removed.
    std::erase_if(c.next_.groups_, [&](const group_record& g) {
        return std::any_of(
            c.input_.record_.groups_.begin(),
            c.input_.record_.groups_.end(),
            [&](const group_record& held) {
                return held.id_ == g.id_ && held.phase_ == group_phase::retired;
            });
    });
}


void plan_groups(step_context& c, std::vector<base::host_id> free_hosts)
{
    const formation_plan plan = plan_formation(
        c.next_,
        std::move(free_hosts),
        c.input_.demand_,
        c.input_.spare_hosts_);
    retire_surplus(c, plan);
    c.next_ = with_formed(c.next_, plan);
}

} // namespace

leader_step plan_step(
    leader_memory& memory,
    const leadership& lead,
    const leader_input& input,
    const group_timing& timing)
{
    if (!may_act(lead, input.now_))
        return {};
    step_context c{memory, input, timing, input.record_, {}};
    forget_old_groups(c);
    step_groups(c);
    std::vector<base::host_id> free_hosts = collect_free_hosts(c);
    // A leader without contact to any host must not take its own isolation
    // for the loss of the domain.
    if (!pvt::sees_any_host(input, timing)) {
        c.step_.orders_.clear();
        return std::move(c.step_);
    }
    plan_groups(c, std::move(free_hosts));
    if (!(c.next_ == input.record_)) {
        drop_retired(c);
        c.step_.write_ = std::move(c.next_);
    }
    return std::move(c.step_);
}

} // namespace monsoondock::groups

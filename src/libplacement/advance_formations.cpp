#include "planner_state.hpp"

#include <monsoondock/base/event_line.hpp>

#include <algorithm>

namespace monsoondock::placement::pvt {

namespace {

/// Listed state of a formation's members.
struct member_check
{
    /// Some member is unlisted, unreachable or has restarted.
    bool lost_ = false;
    bool draining_ = false;
    /// Every member is listed as ready or open in this group.
    bool all_ready_ = true;
    std::optional<fleet::group_phase> head_phase_;
};


bool is_member(const fleet::host_info& host, const formation& f)
{
    return host.role_ && host.role_->key_ == f.key_;
}


member_check check_members(const planning_step& step, const formation& f)
{
    member_check result;
    for (std::size_t i = 0; i < f.members_.size(); ++i) {
        const fleet::host_info* host = find_host(step, f.members_[i]);
        const bool same_process = host != nullptr && host->process_start_ms_ ==
                                                         f.process_start_ms_[i];
        if (!same_process || step.input_.unreachable_.contains(f.members_[i]))
            result.lost_ = true;
        if (!same_process) {
            result.all_ready_ = false;
            continue;
        }
        result.draining_ = result.draining_ || host->draining_;
        const bool inside = is_member(*host, f);
        if (i == 0 && inside)
            result.head_phase_ = host->role_->phase_;
        result.all_ready_ = result.all_ready_ && inside &&
                            (host->role_->phase_ == fleet::group_phase::ready ||
                             host->role_->phase_ == fleet::group_phase::open);
    }
    return result;
}


void log_group_event(const formation& f, const char* event, const char* reason)
{
    base::event_line(event)
        .field("group", f.key_.name_)
        .field("epoch", f.key_.epoch_)
        .field("model", f.model_)
        .field("domain", f.domain_)
        .field("head", f.members_.front())
        .field("reason", reason);
}


void dissolve(planning_step& step, formation& f, const char* reason)
{
    log_group_event(f, "group_dissolving", reason);
    set_phase(step, f, formation_phase::dissolving);
}


// Returns true when the formation has ended and its hosts are free.
bool advance_joining(planning_step& step, formation& f, const member_check& m)
{
    if (m.head_phase_ == fleet::group_phase::open) {
        set_phase(step, f, formation_phase::serving);
        log_group_event(f, "group_serving", "open");
        return false;
    }
    const bool late = step.input_.now_ >= f.join_deadline_;
    if (m.lost_ || m.draining_ || late) {
        if (f.may_be_open_) {
            dissolve(step, f, late ? "join_timeout" : "member_lost");
            return false;
        }
        log_group_event(
            f, "formation_abandoned", late ? "join_timeout" : "member_lost");
        return true;
    }
    if (m.all_ready_) {
        f.may_be_open_ = true;
        set_phase(step, f, formation_phase::opening);
        send_group_order(step, f, f.members_.front(), order_kind::open);
        return false;
    }
    for (const base::host_id& id : f.members_) {
        const fleet::host_info* host = find_host(step, id);
        if (host != nullptr && !is_member(*host, f))
            send_group_order(step, f, id, order_kind::join);
    }
    return false;
}


void advance_opening(planning_step& step, formation& f, const member_check& m)
{
    if (m.lost_ || m.draining_ || !m.all_ready_) {
        dissolve(step, f, "member_lost");
        return;
    }
    if (m.head_phase_ == fleet::group_phase::open) {
        set_phase(step, f, formation_phase::serving);
        log_group_event(f, "group_serving", "open");
        return;
    }
    send_group_order(step, f, f.members_.front(), order_kind::open);
}


void advance_serving(planning_step& step, formation& f, const member_check& m)
{
    if (m.lost_ || m.head_phase_ == fleet::group_phase::broken ||
        !m.head_phase_) {
        dissolve(step, f, "member_lost");
        return;
    }
    if (m.draining_) {
        log_group_event(f, "group_closing", "member_draining");
        set_phase(step, f, formation_phase::closing);
        return;
    }
    if (m.head_phase_ == fleet::group_phase::ready) {
        set_phase(step, f, formation_phase::opening);
        return;
    }
    if (!m.all_ready_)
        dissolve(step, f, "member_left");
}


bool advance_closing(planning_step& step, formation& f, const member_check& m)
{
    if (m.lost_ || m.head_phase_ == fleet::group_phase::broken) {
        dissolve(step, f, "member_lost");
        return false;
    }
    const bool closed =
        !m.head_phase_ || m.head_phase_ == fleet::group_phase::ready;
    // The listing may be out of date, so the members must still leave before
    // they join another group.
    if (closed && !f.last_sent_.empty()) {
        log_group_event(f, "group_closed", "head_closed");
        set_phase(step, f, formation_phase::dissolving);
        return false;
    }
    if (step.input_.now_ - f.phase_start_ >
        step.state_.config_.close_timeout_) {
        dissolve(step, f, "close_timeout");
        return false;
    }
    if (m.head_phase_ == fleet::group_phase::open)
        send_group_order(step, f, f.members_.front(), order_kind::close);
    return false;
}


// Every reachable member must leave before it joins another group. An
// unreachable head may still be open, but can't make progress without its
// members.
bool advance_dissolving(planning_step& step, formation& f)
{
    bool all_left = true;
    for (std::size_t i = 0; i < f.members_.size(); ++i) {
        const base::host_id& id = f.members_[i];
        const fleet::host_info* host = find_host(step, id);
        const bool same_process = host != nullptr && host->process_start_ms_ ==
                                                         f.process_start_ms_[i];
        if (same_process && !is_member(*host, f))
            record_departure(step.state_, id, f.process_start_ms_[i], f.key_);
        if (!same_process ||
            has_left(step.state_, id, f.process_start_ms_[i], f.key_) ||
            step.input_.unreachable_.contains(id))
            continue;
        all_left = false;
        send_group_order(step, f, id, order_kind::leave);
    }
    if (all_left)
        log_group_event(f, "group_dissolved", "members_left");
    return all_left;
}


// Frees the members of an ended group. Listings that still show them in it are
// out of date.
void release_members(planning_step& step, const formation& f)
{
    if (f.phase_ == formation_phase::dissolving)
        return;
    for (std::size_t i = 0; i < f.members_.size(); ++i)
        record_departure(
            step.state_, f.members_[i], f.process_start_ms_[i], f.key_);
}


bool advance(planning_step& step, formation& f)
{
    if (is_evacuated(step, f)) {
        // The time of an evacuation does not count for the time limits.
        f.join_deadline_ = std::max(
            f.join_deadline_,
            step.input_.now_ + step.state_.config_.formation_slack_);
        if (f.phase_ == formation_phase::closing)
            f.phase_start_ = step.input_.now_;
        return false;
    }
    const member_check m = check_members(step, f);
    switch (f.phase_) {
    case formation_phase::joining:
        return advance_joining(step, f, m);
    case formation_phase::opening:
        advance_opening(step, f, m);
        return false;
    case formation_phase::serving:
        advance_serving(step, f, m);
        return false;
    case formation_phase::closing:
        return advance_closing(step, f, m);
    case formation_phase::dissolving:
        return advance_dissolving(step, f);
    }
    return false;
}

} // namespace

void advance_formations(planning_step& step)
{
    auto& formations = step.state_.formations_;
    for (auto entry = formations.begin(); entry != formations.end();) {
        if (!advance(step, entry->second)) {
            ++entry;
            continue;
        }
        release_members(step, entry->second);
        entry = formations.erase(entry);
    }
}

} // namespace monsoondock::placement::pvt

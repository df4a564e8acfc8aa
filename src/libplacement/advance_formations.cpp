#include "planner_state.hpp"

#include <monsoondock/base/event_line.hpp>

#include <algorithm>

namespace monsoondock::placement::pvt {

namespace {

/// What the list says of a formation's members.
struct member_check
{
    /// Some member is not listed, unreachable, or a new process.
    bool lost_ = false;
    bool draining_ = false;
    /// Every member says that it is ready in this group.
    bool all_ready_ = true;
    std::optional<fleet::group_phase> head_phase_;
};


bool is_in(const fleet::host_info& host, const formation& f)
{
    return host.role_ && host.role_->key_ == f.key_;
}


member_check check_members(const planning& p, const formation& f)
{
    member_check result;
    for (std::size_t i = 0; i < f.members_.size(); ++i) {
        const fleet::host_info* host = find_host(p, f.members_[i]);
        const bool same = host != nullptr &&
                          host->process_start_ms_ == f.process_start_ms_[i];
        if (!same || p.input_.unreachable_.contains(f.members_[i]))
            result.lost_ = true;
        if (!same) {
            result.all_ready_ = false;
            continue;
        }
        result.draining_ = result.draining_ || host->draining_;
        const bool inside = is_in(*host, f);
        if (i == 0 && inside)
            result.head_phase_ = host->role_->phase_;
        result.all_ready_ = result.all_ready_ && inside &&
                            (host->role_->phase_ == fleet::group_phase::ready ||
                             host->role_->phase_ == fleet::group_phase::open);
    }
    return result;
}


void log_phase(const formation& f, const char* event, const char* reason)
{
    base::event_line(event)
        .field("group", f.key_.name_)
        .field("epoch", f.key_.epoch_)
        .field("model", f.model_)
        .field("domain", f.domain_)
        .field("head", f.members_.front())
        .field("reason", reason);
}


void dissolve(planning& p, formation& f, const char* reason)
{
    log_phase(f, "group_dissolving", reason);
    set_phase(p, f, formation_phase::dissolving);
}


// Returns true when the formation is over and its hosts are free.
bool advance_joining(planning& p, formation& f, const member_check& m)
{
    if (m.head_phase_ == fleet::group_phase::open) {
        set_phase(p, f, formation_phase::serving);
        log_phase(f, "group_serving", "open");
        return false;
    }
    const bool late = p.input_.now_ >= f.give_up_;
    if (m.lost_ || m.draining_ || late) {
        if (f.may_open_) {
            dissolve(p, f, late ? "late" : "member_lost");
            return false;
        }
        log_phase(f, "formation_given_up", late ? "late" : "member_lost");
        return true;
    }
    if (m.all_ready_) {
        f.may_open_ = true;
        set_phase(p, f, formation_phase::opening);
        tell(p, f, f.members_.front(), order_kind::open);
        return false;
    }
    for (const base::host_id& id : f.members_) {
        const fleet::host_info* host = find_host(p, id);
        if (host != nullptr && !is_in(*host, f))
            tell(p, f, id, order_kind::join);
    }
    return false;
}


void advance_opening(planning& p, formation& f, const member_check& m)
{
    if (m.lost_ || m.draining_ || !m.all_ready_) {
        dissolve(p, f, "member_lost");
        return;
    }
    if (m.head_phase_ == fleet::group_phase::open) {
        set_phase(p, f, formation_phase::serving);
        log_phase(f, "group_serving", "open");
        return;
    }
    tell(p, f, f.members_.front(), order_kind::open);
}


void advance_serving(planning& p, formation& f, const member_check& m)
{
    if (m.lost_ || m.head_phase_ == fleet::group_phase::broken ||
        !m.head_phase_) {
        dissolve(p, f, "member_lost");
        return;
    }
    if (m.draining_) {
        log_phase(f, "group_closing", "member_drains");
        set_phase(p, f, formation_phase::closing);
        return;
    }
    if (m.head_phase_ == fleet::group_phase::ready) {
        set_phase(p, f, formation_phase::opening);
        return;
    }
    if (!m.all_ready_)
        dissolve(p, f, "member_left");
}


bool advance_closing(planning& p, formation& f, const member_check& m)
{
    if (m.lost_ || m.head_phase_ == fleet::group_phase::broken) {
        dissolve(p, f, "member_lost");
        return false;
    }
    const bool closed =
        !m.head_phase_ || m.head_phase_ == fleet::group_phase::ready;
    // The entry may be an old one, so the members still leave before they go
    // elsewhere.
    if (closed && !f.told_.empty()) {
        log_phase(f, "group_closed", "done");
        set_phase(p, f, formation_phase::dissolving);
        return false;
    }
    if (p.input_.now_ - f.phase_start_ > p.s_.config_.close_timeout_) {
        dissolve(p, f, "close_too_long");
        return false;
    }
    if (m.head_phase_ == fleet::group_phase::open)
        tell(p, f, f.members_.front(), order_kind::close);
    return false;
}


// Each member that can be reached leaves the group before it goes elsewhere: a
// head that can't be reached may be open all the same, but stands still
// without its members.
bool advance_dissolving(planning& p, formation& f)
{
    bool all_left = true;
    for (std::size_t i = 0; i < f.members_.size(); ++i) {
        const base::host_id& id = f.members_[i];
        const fleet::host_info* host = find_host(p, id);
        const bool same = host != nullptr &&
                          host->process_start_ms_ == f.process_start_ms_[i];
        if (same && !is_in(*host, f))
            note_left(p.s_, id, f.process_start_ms_[i], f.key_);
        if (!same || has_left(p.s_, id, f.process_start_ms_[i], f.key_) ||
            p.input_.unreachable_.contains(id))
            continue;
        all_left = false;
        tell(p, f, id, order_kind::leave);
    }
    if (all_left)
        log_phase(f, "group_dissolved", "members_left");
    return all_left;
}


// The members of a group that is over are free; entries that still show it
// are out of date.
void release_members(planning& p, const formation& f)
{
    if (f.phase_ == formation_phase::dissolving)
        return;
    for (std::size_t i = 0; i < f.members_.size(); ++i)
        note_left(p.s_, f.members_[i], f.process_start_ms_[i], f.key_);
}


bool advance(planning& p, formation& f)
{
    const member_check m = check_members(p, f);
    switch (f.phase_) {
    case formation_phase::joining:
        return advance_joining(p, f, m);
    case formation_phase::opening:
        advance_opening(p, f, m);
        return false;
    case formation_phase::serving:
        advance_serving(p, f, m);
        return false;
    case formation_phase::closing:
        return advance_closing(p, f, m);
    case formation_phase::dissolving:
        return advance_dissolving(p, f);
    }
    return false;
}

} // namespace

void advance_formations(planning& p)
{
    auto& formations = p.s_.formations_;
    for (auto entry = formations.begin(); entry != formations.end();) {
        if (!advance(p, entry->second)) {
            ++entry;
            continue;
        }
        release_members(p, entry->second);
        entry = formations.erase(entry);
    }
}

} // namespace monsoondock::placement::pvt

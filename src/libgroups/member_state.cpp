#include "member_state.hpp"

#include <algorithm>

namespace monsoondock::groups::pvt {

namespace {

bool is_silent(
    const leader_input& input,
    const group_record& group,
    const group_watch& watch,
    const base::host_id& host,
    const group_timing& timing)
{
    const base::time_point limit = input.now_ - timing.repair_after_;
    if (watch.since_ > limit)
        return false;
    const host_contact contact = input.contacts_.find(host);
    if (!contact.failed_)
        return false;
    if (contact.report_ && contact.report_->sent_at_ > limit)
        return false;
    const auto seen =
        input.evidence_.last_ready(host, group.id_, group.generation_);
    return !seen || *seen <= limit;
}


/// True when the host answers that it no longer has what it served with.
bool has_dropped_group(
    const group_record& group,
    const group_watch& watch,
    const host_contact& contact)
{
    if (group.phase_ != group_phase::serving || !contact.report_)
        return false;
    if (contact.report_->sent_at_ < watch.since_)
        return false;
    return !holds(*contact.report_, group.id_, group.generation_);
}

} // namespace

const host_view* find_host(const leader_input& input, const base::host_id& id)
{
    const auto found = std::find_if(
        input.hosts_.begin(), input.hosts_.end(), [&](const host_view& h) {
            return h.id_ == id;
        });
    return found == input.hosts_.end() ? nullptr : &*found;
}


member_state judge_member(
    const leader_input& input,
    const group_record& group,
    const group_watch& watch,
    const base::host_id& host,
    const group_timing& timing)
{
    const host_contact contact = input.contacts_.find(host);
    if (has_dropped_group(group, watch, contact))
        return member_state::lost;
    if (is_silent(input, group, watch, host, timing))
        return member_state::lost;
    const host_view* listed = find_host(input, host);
    if (listed == nullptr || listed->leaving_)
        return member_state::leaving;
    if (!contact.report_ || contact.failed_)
        return member_state::pending;
    const host_report& report = *contact.report_;
    if (report.phase_ != engine_phase::ready)
        return member_state::pending;
    return holds(report, group.id_, group.generation_) ? member_state::ready
                                                       : member_state::pending;
}


bool sees_any_host(const leader_input& input, const group_timing& timing)
{
    const base::time_point since = input.now_ - timing.contact_lifetime_;
    return std::any_of(
        input.hosts_.begin(), input.hosts_.end(), [&](const host_view& h) {
            return input.contacts_.answered_since(h.id_, since);
        });
}

} // namespace monsoondock::groups::pvt

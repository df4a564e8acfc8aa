#include "member_state.hpp"

#include <algorithm>

namespace monsoondock::groups::pvt {

namespace {

bool is_silent(
    const leader_input& input,
    const group_record& group,
    const tracked_group& tracked,
    const base::host_id& host,
    const group_timing& timing)
{
    const base::time_point limit = input.now_ - timing.member_lost_after_;
    if (tracked.since_ > limit)
        return false;
    const host_contact contact = input.contacts_.find(host);
    if (!contact.failed_probe_at_)
        return false;
    if (contact.report_ && contact.report_->sent_at_ > limit)
        return false;
    const auto observed_at =
        input.evidence_.last_ready(host, group.id_, group.generation_);
    return !observed_at || *observed_at <= limit;
}


/// Returns true when a member of a serving group reports that it no longer
/// holds the group.
bool has_lost_group(
    const group_record& group,
    const tracked_group& tracked,
    const host_contact& contact)
{
    if (group.phase_ != group_phase::serving || !contact.report_)
        return false;
    if (contact.report_->sent_at_ < tracked.since_)
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


member_state classify_member(
    const leader_input& input,
    const group_record& group,
    const tracked_group& tracked,
    const base::host_id& host,
    const group_timing& timing)
{
    const host_contact contact = input.contacts_.find(host);
    if (has_lost_group(group, tracked, contact))
        return member_state::lost;
    if (is_silent(input, group, tracked, host, timing))
        return member_state::lost;
    const host_view* listed = find_host(input, host);
    if (listed == nullptr || listed->leaving_)
        return member_state::leaving;
    if (!contact.report_ || contact.failed_probe_at_)
        return member_state::pending;
    const host_report& report = *contact.report_;
    if (report.phase_ != engine_phase::ready)
        return member_state::pending;
    return holds(report, group.id_, group.generation_) ? member_state::ready
                                                       : member_state::pending;
}


bool reached_any_host(const leader_input& input, const group_timing& timing)
{
    const base::time_point since = input.now_ - timing.contact_lifetime_;
    return std::any_of(
        input.hosts_.begin(), input.hosts_.end(), [&](const host_view& h) {
            return input.contacts_.answered_since(h.id_, since);
        });
}

} // namespace monsoondock::groups::pvt

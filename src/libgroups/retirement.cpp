#include <monsoondock/groups/retirement.hpp>

#include <algorithm>

namespace monsoondock::groups {

void note_members(
    retirement& progress,
    const group_record& group,
    const contact_table& contacts,
    const group_timing& timing)
{
    const base::time_point settled = progress.since_ + timing.order_timeout_;
    for (const base::host_id& host : group.hosts_) {
        const host_contact contact = contacts.find(host);
        if (!contact.report_ || contact.report_->sent_at_ < settled)
            continue;
        if (holds(*contact.report_, group.id_, group.generation_))
            continue;
        progress.emptied_.insert(host);
        if (!progress.let_go_)
            progress.let_go_ = contact.report_->received_at_;
    }
}


bool may_release(
    const retirement& progress,
    const group_record& group,
    bool all_check_generation,
    base::time_point now,
    const group_timing& timing)
{
    if (all_check_generation && progress.emptied_.size() == group.hosts_.size())
        return true;
    if (!progress.let_go_)
        return false;
    return now - *progress.let_go_ >= timing.dispatch_lease_ + timing.margin_;
}

} // namespace monsoondock::groups

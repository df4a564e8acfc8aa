#include <monsoondock/groups/retirement.hpp>

#include <algorithm>

namespace monsoondock::groups {

void update_retirement(
    retirement& progress,
    const group_record& group,
    const contact_table& contacts,
    const group_timing& timing)
{
    const base::time_point orders_expired_at =
        progress.since_ + timing.order_timeout_;
    for (const base::host_id& host : group.hosts_) {
        const host_contact contact = contacts.find(host);
        if (!contact.report_ || contact.report_->sent_at_ < orders_expired_at)
            continue;
        if (holds(*contact.report_, group.id_, group.generation_))
            continue;
        progress.unloaded_members_.insert(host);
        if (!progress.first_unloaded_at_)
            progress.first_unloaded_at_ = contact.report_->received_at_;
    }
}


bool may_release(
    const retirement& progress,
    const group_record& group,
    bool all_check_generation,
    base::time_point now,
    const group_timing& timing)
{
    if (all_check_generation &&
        progress.unloaded_members_.size() == group.hosts_.size())
        return true;
    if (!progress.first_unloaded_at_)
        return false;
    return now - *progress.first_unloaded_at_ >=
           timing.dispatch_lease_ + timing.margin_;
}

} // namespace monsoondock::groups

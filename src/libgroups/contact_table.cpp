#include <monsoondock/groups/contact_table.hpp>

namespace monsoondock::groups {

void contact_table::record_report(
    const base::host_id& host, const host_report& report)
{
    host_contact& contact = contacts_[host];
    if (contact.report_ && report.sent_at_ < contact.report_->sent_at_)
        return;
    contact.report_ = report;
    if (contact.failed_probe_at_ &&
        *contact.failed_probe_at_ <= report.sent_at_)
        contact.failed_probe_at_.reset();
}


void contact_table::record_probe_failure(
    const base::host_id& host, base::time_point sent_at)
{
    host_contact& contact = contacts_[host];
    if (contact.report_ && sent_at < contact.report_->sent_at_)
        return;
    contact.failed_probe_at_ = sent_at;
}


host_contact contact_table::find(const base::host_id& host) const
{
    const auto found = contacts_.find(host);
    return found == contacts_.end() ? host_contact{} : found->second;
}


bool contact_table::answered_since(
    const base::host_id& host, base::time_point since) const
{
    const auto found = contacts_.find(host);
    if (found == contacts_.end() || !found->second.report_)
        return false;
    return found->second.report_->sent_at_ >= since;
}

} // namespace monsoondock::groups

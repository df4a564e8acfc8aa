#include <monsoondock/groups/evidence_table.hpp>

namespace monsoondock::groups {

namespace {

bool replaces(const host_evidence& candidate, const host_evidence& current)
{
    if (candidate.generation_ > current.generation_)
        return true;
    if (candidate.generation_ < current.generation_)
        return false;
    return candidate.group_ == current.group_ &&
           candidate.observed_at_ > current.observed_at_;
}

} // namespace

void evidence_table::record_report(
    const base::host_id& host, const host_report& report)
{
    const host_entry& entry = hosts_[host];
    const bool older =
        entry.evidence_ && report.generation_ < entry.evidence_->generation_;
    // The report can describe the host at any moment up to its arrival, so no
    // evidence from before the arrival is valid.
    if (report.phase_ != engine_phase::ready || older)
        invalidate_host(host, report.received_at_);
    else
        record_ready(
            host,
            host_evidence{report.group_, report.generation_, report.sent_at_});
}


void evidence_table::record_ready(
    const base::host_id& host, const host_evidence& evidence)
{
    host_entry& entry = hosts_[host];
    if (evidence.observed_at_ <= entry.invalidated_at_)
        return;
    if (!entry.evidence_ || replaces(evidence, *entry.evidence_))
        entry.evidence_ = evidence;
}


void evidence_table::invalidate_host(
    const base::host_id& host, base::time_point now)
{
    host_entry& entry = hosts_[host];
    entry.evidence_.reset();
    if (now > entry.invalidated_at_)
        entry.invalidated_at_ = now;
}


std::optional<base::time_point> evidence_table::last_ready(
    const base::host_id& host,
    const base::group_id& group,
    base::generation generation) const
{
    const auto found = hosts_.find(host);
    if (found == hosts_.end() || !found->second.evidence_)
        return std::nullopt;
    const host_evidence& current = *found->second.evidence_;
    if (current.group_ != group || current.generation_ != generation)
        return std::nullopt;
    return current.observed_at_;
}


void evidence_table::erase_host(const base::host_id& host)
{
    hosts_.erase(host);
}

} // namespace monsoondock::groups

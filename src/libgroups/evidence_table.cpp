#include <monsoondock/groups/evidence_table.hpp>

namespace monsoondock::groups {

namespace {

bool replaces(const host_evidence& fresh, const host_evidence& held)
{
    if (fresh.generation_ > held.generation_)
        return true;
    if (fresh.generation_ < held.generation_)
        return false;
    return fresh.group_ == held.group_ && fresh.seen_ > held.seen_;
}

} // namespace

void evidence_table::record_report(
    const base::host_id& host, const host_report& report)
{
    const row& r = rows_[host];
    const bool older =
        r.evidence_ && report.generation_ < r.evidence_->generation_;
    // The answer tells of some moment up to its arrival.
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
    row& r = rows_[host];
    if (evidence.seen_ <= r.broken_at_)
        return;
    if (!r.evidence_ || replaces(evidence, *r.evidence_))
        r.evidence_ = evidence;
}


void evidence_table::invalidate_host(
    const base::host_id& host, base::time_point now)
{
    row& r = rows_[host];
    r.evidence_.reset();
    if (now > r.broken_at_)
        r.broken_at_ = now;
}


std::optional<base::time_point> evidence_table::last_ready(
    const base::host_id& host,
    const base::group_id& group,
    base::generation generation) const
{
    const auto found = rows_.find(host);
    if (found == rows_.end() || !found->second.evidence_)
        return std::nullopt;
    const host_evidence& held = *found->second.evidence_;
    if (held.group_ != group || held.generation_ != generation)
        return std::nullopt;
    return held.seen_;
}


void evidence_table::forget(const base::host_id& host)
{
    rows_.erase(host);
}

} // namespace monsoondock::groups

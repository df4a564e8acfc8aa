#include <monsoondock/relay/crash_tracker.hpp>

namespace monsoondock::relay {

void crash_tracker::add(const crash_report& report, base::time_point now)
{
    if (entries_.size() >= max_entries) {
        std::erase_if(entries_, [&](const auto& e) {
            return now - e.second.last_ > retention;
        });
        if (entries_.size() >= max_entries)
            entries_.erase(entries_.begin());
    }
    entry& e = entries_[report.fingerprint_];
    if (now - e.last_ > retention)
        e = {};
    e.last_ = now;
    if (report.completed_)
        e.completed_ = true;
    else
        e.hosts_.insert(report.host_);
}


bool crash_tracker::mark_completed(
    std::uint64_t fingerprint, base::time_point now)
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || found->second.completed_)
        return false;
    found->second.completed_ = true;
    found->second.last_ = now;
    return true;
}


std::size_t crash_tracker::crash_count(
    std::uint64_t fingerprint, base::time_point now) const
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || found->second.completed_ ||
        now - found->second.last_ > retention)
        return 0;
    return found->second.hosts_.size();
}

} // namespace monsoondock::relay

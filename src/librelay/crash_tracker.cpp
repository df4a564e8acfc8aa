#include <monsoondock/relay/crash_tracker.hpp>

#include <utility>

namespace monsoondock::relay {

void crash_tracker::remember_completed(
    std::uint64_t fingerprint, base::time_point now)
{
    const auto age = now - latest_since_;
    if (age >= completion_memory || latest_completed_.size() >= max_entries) {
        earlier_completed_ = std::exchange(latest_completed_, {});
        if (age >= 2 * completion_memory)
            earlier_completed_.clear();
        latest_since_ = now;
    }
    latest_completed_.insert(fingerprint);
}


bool crash_tracker::was_completed(
    std::uint64_t fingerprint, base::time_point now) const
{
    const auto age = now - latest_since_;
    if (age < 2 * completion_memory && latest_completed_.contains(fingerprint))
        return true;
    return age < completion_memory && earlier_completed_.contains(fingerprint);
}


void crash_tracker::add(const crash_report& report, base::time_point now)
{
    if (report.completed_) {
        mark_completed(report.fingerprint_, now);
        return;
    }
    if (was_completed(report.fingerprint_, now))
        return;
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
    e.hosts_.insert(report.host_);
}


bool crash_tracker::mark_completed(
    std::uint64_t fingerprint, base::time_point now)
{
    remember_completed(fingerprint, now);
    return entries_.erase(fingerprint) > 0;
}


std::size_t crash_tracker::crash_count(
    std::uint64_t fingerprint, base::time_point now) const
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || now - found->second.last_ > retention)
        return 0;
    return found->second.hosts_.size();
}

} // namespace monsoondock::relay

#include <monsoondock/relay/crash_board.hpp>

namespace monsoondock::relay {

void crash_board::add(const crash_report& report, base::time_point now)
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
    if (report.proven_)
        e.proven_ = true;
    else
        e.hosts_.insert(report.host_);
}


bool crash_board::prove(std::uint64_t fingerprint, base::time_point now)
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || found->second.proven_)
        return false;
    found->second.proven_ = true;
    found->second.last_ = now;
    return true;
}


std::size_t
crash_board::crashes(std::uint64_t fingerprint, base::time_point now) const
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || found->second.proven_ ||
        now - found->second.last_ > retention)
        return 0;
    return found->second.hosts_.size();
}

} // namespace monsoondock::relay

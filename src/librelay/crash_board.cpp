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
    e.hosts_.insert(report.host_);
    e.last_ = now;
}


std::size_t
crash_board::crashes(std::uint64_t fingerprint, base::time_point now) const
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || now - found->second.last_ > retention)
        return 0;
    return found->second.hosts_.size();
}

} // namespace monsoondock::relay

#include "host_change_log.hpp"

namespace monsoondock::entry::pvt {

void host_change_log::add(platform::change c)
{
    ++sequence_;
    changes_.push_back(std::move(c));
    if (changes_.size() > max_changes)
        changes_.pop_front();
}


std::optional<std::vector<platform::change>>
host_change_log::after(std::uint64_t sequence) const
{
    if (sequence > sequence_ || sequence_ - sequence > changes_.size())
        return std::nullopt;
    const auto first =
        changes_.end() - static_cast<std::ptrdiff_t>(sequence_ - sequence);
    return std::vector<platform::change>(first, changes_.end());
}

} // namespace monsoondock::entry::pvt

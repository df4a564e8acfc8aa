#include <monsoondock/paths/link_table.hpp>

#include <algorithm>

namespace monsoondock::paths {

namespace {

constexpr std::size_t min_cut_links = 3;
constexpr std::size_t cut_links_per_reached = 4;

} // namespace

void link_table::record_reached(const base::host_id& host, base::time_point now)
{
    links_[host].reached_at_ = now;
    if (cut_.erase(host) > 0)
        restored_at_ = now;
}


void link_table::record_cut(const base::host_id& host, base::time_point now)
{
    cut_.try_emplace(host, now);
    links_[host].tested_at_ = now;
}


bool link_table::reached_since(
    const base::host_id& host, base::time_point time) const
{
    const auto found = links_.find(host);
    return found != links_.end() && found->second.reached_at_ >= time;
}


bool link_table::reached_other_since(
    const base::host_id& host, base::time_point time) const
{
    return std::any_of(links_.begin(), links_.end(), [&](const auto& entry) {
        return entry.first != host && entry.second.reached_at_ >= time;
    });
}


bool link_table::is_cut_off(
    const std::set<base::host_id>& listed, base::time_point now) const
{
    if (cut_.empty() || cut_.size() < std::min(min_cut_links, listed.size()))
        return false;
    const auto reached =
        std::count_if(links_.begin(), links_.end(), [&](const auto& entry) {
            return !cut_.contains(entry.first) &&
                   now - entry.second.reached_at_ < reached_memory;
        });
    return cut_.size() >=
           cut_links_per_reached * static_cast<std::size_t>(reached);
}


std::set<base::host_id> link_table::unusable_hosts(
    const std::set<base::host_id>& listed, base::time_point now) const
{
    std::set<base::host_id> hosts;
    for (const auto& [host, since] : cut_) {
        if (listed.contains(host))
            hosts.insert(host);
    }
    if (!is_cut_off(listed, now))
        return hosts;
    const auto first = std::min_element(
        cut_.begin(), cut_.end(), [](const auto& a, const auto& b) {
            return a.second < b.second;
        });
    for (const base::host_id& host : listed) {
        if (!reached_since(host, first->second))
            hosts.insert(host);
    }
    return hosts;
}


std::vector<base::host_id> link_table::take_tests(
    const std::set<base::host_id>& listed, base::time_point now)
{
    std::erase_if(links_, [&](const auto& entry) {
        return !listed.contains(entry.first);
    });
    std::erase_if(
        cut_, [&](const auto& entry) { return !listed.contains(entry.first); });
    if (cut_.empty())
        return {};
    std::vector<std::pair<base::time_point, base::host_id>> candidates;
    for (const base::host_id& host : listed) {
        const link& l = links_[host];
        if (cut_.contains(host) || now - l.reached_at_ >= reached_memory)
            candidates.emplace_back(l.tested_at_, host);
    }
    const std::size_t most = now - restored_at_ < reached_memory
                                 ? tests_while_restoring
                                 : tests_while_cut;
    const std::size_t count = std::min(most, candidates.size());
    std::partial_sort(
        candidates.begin(),
        candidates.begin() + static_cast<std::ptrdiff_t>(count),
        candidates.end());
    std::vector<base::host_id> tests;
    for (std::size_t i = 0; i < count; ++i) {
        links_[candidates[i].second].tested_at_ = now;
        tests.push_back(candidates[i].second);
    }
    return tests;
}

} // namespace monsoondock::paths

#include "update_queue.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace monsoondock::membership::pvt {

void update_queue::requeue(const base::daemon_id& id)
{
    erase(id);
    entries_.insert(entries_.begin(), entry{id, 0});
}


void update_queue::erase(const base::daemon_id& id)
{
    std::erase_if(entries_, [&](const entry& e) { return e.id_ == id; });
}


std::vector<base::daemon_id> update_queue::next_ids(std::size_t count) const
{
    std::vector<std::size_t> order(entries_.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const std::size_t kept = std::min(count, order.size());
    std::partial_sort(
        order.begin(),
        order.begin() + static_cast<std::ptrdiff_t>(kept),
        order.end(),
        [&](std::size_t a, std::size_t b) {
            return std::pair(entries_[a].transmissions_, a) <
                   std::pair(entries_[b].transmissions_, b);
        });
    std::vector<base::daemon_id> names;
    names.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i)
        names.push_back(entries_[order[i]].id_);
    return names;
}


void update_queue::record_transmission(
    const base::daemon_id& id, std::size_t limit)
{
    const auto found =
        std::find_if(entries_.begin(), entries_.end(), [&](const entry& e) {
            return e.id_ == id;
        });
    if (found == entries_.end())
        return;
    if (++found->transmissions_ >= limit)
        entries_.erase(found);
}

} // namespace monsoondock::membership::pvt

#include "update_queue.hpp"

#include <algorithm>

namespace monsoondock::membership::pvt {

void update_queue::restart(const base::daemon_id& id)
{
    erase(id);
    entries_.insert(entries_.begin(), entry{id, 0});
}


void update_queue::erase(const base::daemon_id& id)
{
    std::erase_if(entries_, [&](const entry& e) { return e.id_ == id; });
}


std::vector<base::daemon_id> update_queue::order() const
{
    std::vector<const entry*> sorted;
    sorted.reserve(entries_.size());
    for (const entry& e : entries_)
        sorted.push_back(&e);
    std::stable_sort(
        sorted.begin(), sorted.end(), [](const entry* a, const entry* b) {
            return a->sent_ < b->sent_;
        });
    std::vector<base::daemon_id> names;
    names.reserve(sorted.size());
    for (const entry* e : sorted)
        names.push_back(e->id_);
    return names;
}


void update_queue::count_sent(const base::daemon_id& id, std::size_t limit)
{
    const auto found =
        std::find_if(entries_.begin(), entries_.end(), [&](const entry& e) {
            return e.id_ == id;
        });
    if (found == entries_.end())
        return;
    if (++found->sent_ >= limit)
        entries_.erase(found);
}

} // namespace monsoondock::membership::pvt

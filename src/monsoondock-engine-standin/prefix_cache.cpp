#include "prefix_cache.hpp"

#include <algorithm>

namespace monsoondock::engine_standin {

bool prefix_cache::touch(const std::string& prefix)
{
    const auto found = std::find(entries_.begin(), entries_.end(), prefix);
    if (found != entries_.end()) {
        entries_.splice(entries_.begin(), entries_, found);
        return true;
    }
    entries_.push_front(prefix);
    if (entries_.size() > capacity_)
        entries_.pop_back();
    return false;
}


void prefix_cache::clear()
{
    entries_.clear();
}


std::size_t prefix_cache::size() const
{
    return entries_.size();
}

} // namespace monsoondock::engine_standin

#include "prefix_cache.hpp"

#include <algorithm>

namespace monsoondock::engine_standin {

bool prefix_cache::use(const std::string& prefix)
{
    const auto found = std::find(recent_.begin(), recent_.end(), prefix);
    if (found != recent_.end()) {
        recent_.splice(recent_.begin(), recent_, found);
        return true;
    }
    recent_.push_front(prefix);
    if (recent_.size() > limit_)
        recent_.pop_back();
    return false;
}


void prefix_cache::clear()
{
    recent_.clear();
}


std::size_t prefix_cache::size() const
{
    return recent_.size();
}

} // namespace monsoondock::engine_standin

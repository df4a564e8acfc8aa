#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/groups/verdict_entry.hpp>

namespace monsoondock::groups {

std::uint64_t
verdict_key(const base::group_id& group, base::generation generation)
{
    return base::stable_hash(group.value_, generation.value_);
}

} // namespace monsoondock::groups

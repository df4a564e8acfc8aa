#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/groups/group_health.hpp>

#include <string>

namespace monsoondock::groups {

std::uint64_t
group_generation_key(const base::group_id& group, base::generation generation)
{
    // Not the seed of the hash: on texts of up to three bytes the seed can
    // cancel a difference of the text.
    std::string text = group.value_;
    text += '#';
    text += std::to_string(generation.value_);
    return base::stable_hash(text);
}

} // namespace monsoondock::groups

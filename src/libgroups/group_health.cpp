#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/groups/group_health.hpp>

#include <string>

namespace monsoondock::groups {

std::uint64_t
group_generation_key(const base::group_id& group, base::generation generation)
{
    // The generation is part of the text and not the seed of the hash: for
    // texts of up to three bytes, different seeds and texts can give the same
    // hash.
    std::string text = group.value_;
    text += '#';
    text += std::to_string(generation.value_);
    return base::stable_hash(text);
}

} // namespace monsoondock::groups

#pragma once

#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/quarantine/group_instance.hpp>

#include <cstdint>

namespace monsoondock::quarantine::pvt {

/// Returns the number by which crashes::part_tracker knows a group instance.
inline std::uint64_t run_of(const group_instance& group)
{
    return base::stable_hash(group.group_.value_, group.generation_.value_);
}

} // namespace monsoondock::quarantine::pvt

#pragma once

#include <monsoondock/groups/group_record.hpp>

#include <chrono>
#include <cstdint>

namespace monsoondock::groups {

/// Key of a group and its generation in messages between daemons.
std::uint64_t
verdict_key(const base::group_id& group, base::generation generation);


/// What a daemon tells others about one group.
struct verdict_entry
{
    std::uint64_t key_ = 0;
    /// Age in milliseconds, rounded up, of the oldest evidence among the
    /// members that are not missing.
    std::uint16_t age_ms_ = 0;
    /// Bit i is set when the member of rank i has no evidence within age.
    std::uint32_t missing_ = 0;

    friend bool
    operator==(const verdict_entry&, const verdict_entry&) = default;
};


} // namespace monsoondock::groups

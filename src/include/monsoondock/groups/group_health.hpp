#pragma once

#include <monsoondock/groups/group_record.hpp>

#include <chrono>
#include <cstdint>

namespace monsoondock::groups {

/// Returns the key that identifies a group and its generation in messages
/// between daemons.
std::uint64_t
group_generation_key(const base::group_id& group, base::generation generation);


/// Health of one group as one daemon reports it to others.
struct group_health
{
    /// See group_generation_key.
    std::uint64_t key_ = 0;
    /// Age in milliseconds, rounded up, of the oldest evidence among the
    /// members that are not missing.
    std::uint16_t age_ms_ = 0;
    /// Bit i is set when there is no evidence about the member of rank i that
    /// is younger than the lease.
    std::uint32_t missing_ = 0;

    friend bool operator==(const group_health&, const group_health&) = default;
};

} // namespace monsoondock::groups

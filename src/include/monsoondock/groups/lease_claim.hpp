#pragma once

#include <cstdint>

namespace monsoondock::groups {

/// Statement of a daemon that it leads a domain, holds a valid lease and
/// reaches hosts of the domain. It only keeps other candidates from challenging
/// the leader; it gives no right to act.
struct lease_claim
{
    /// stable_hash of the domain's id.
    std::uint64_t domain_ = 0;
    std::uint32_t term_ = 0;

    friend bool operator==(const lease_claim&, const lease_claim&) = default;
};


} // namespace monsoondock::groups

#pragma once

#include <cstdint>

namespace monsoondock::groups {

/// Statement of a daemon that it leads a domain with a valid lease and sees
/// hosts of it. It keeps others from trying to take over; it grants nothing.
struct lease_claim
{
    /// stable_hash of the domain's name.
    std::uint64_t domain_ = 0;
    std::uint32_t term_ = 0;

    friend bool operator==(const lease_claim&, const lease_claim&) = default;
};


} // namespace monsoondock::groups

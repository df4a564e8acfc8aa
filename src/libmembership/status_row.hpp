#pragma once

#include <monsoondock/membership/member_record.hpp>

#include <cstdint>

namespace monsoondock::membership::pvt {

/// Compact status of one member, of which each datagram carries several. The
/// receiver finds the member by the hash of its name and applies the row only
/// when the low half of the incarnation matches.
struct status_row
{
    std::uint32_t name_hash_ = 0;
    std::uint32_t incarnation_low_ = 0;
    member_status status_;
};


/// Returns the hash of a daemon name that status rows use.
std::uint32_t name_hash(const base::daemon_id& id);


status_row make_row(const member_record& record);

} // namespace monsoondock::membership::pvt

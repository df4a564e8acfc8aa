#pragma once

#include <monsoondock/membership/member_record.hpp>

#include <cstdint>

namespace monsoondock::membership::pvt {

/// Short form of the status of one member, for a table of rows in each
/// datagram. The receiver finds the member by the hash of its name and takes
/// the row only when the low half of the incarnation agrees.
struct status_row
{
    std::uint32_t name_hash_ = 0;
    std::uint32_t incarnation_low_ = 0;
    member_status status_;
};


/// Returns the hash of a member's name that rows use.
std::uint32_t name_hash(const base::daemon_id& id);


/// Returns the row of a member.
status_row make_row(const member_record& record);

} // namespace monsoondock::membership::pvt

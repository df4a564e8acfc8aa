#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/membership/endpoint.hpp>
#include <monsoondock/membership/incarnation.hpp>
#include <monsoondock/membership/member_state.hpp>
#include <monsoondock/membership/member_status.hpp>

#include <cstdint>

namespace monsoondock::membership {

/// Everything that the nodes exchange about one daemon. Each of the three names
/// is at most 63 bytes long.
struct member_record
{
    base::daemon_id id_;
    base::data_centre_id data_centre_;
    base::region_id region_;
    /// Where other daemons reach this one, over UDP and TCP.
    endpoint peer_;
    /// Where callers connect.
    endpoint caller_;
    /// Processor capacity in thousandths of a core. Daemons with more of it are
    /// preferred for tasks that one daemon does for others.
    std::uint16_t capacity_permille_ = 0;
    incarnation incarnation_;
    member_state state_ = member_state::alive;
    member_status status_;

    friend bool
    operator==(const member_record&, const member_record&) = default;
};

} // namespace monsoondock::membership

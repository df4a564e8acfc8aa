#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/membership/endpoint.hpp>
#include <monsoondock/membership/incarnation.hpp>
#include <monsoondock/membership/member_state.hpp>
#include <monsoondock/membership/member_status.hpp>

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
    incarnation incarnation_;
    member_state state_ = member_state::alive;
    member_status status_;

    friend bool
    operator==(const member_record&, const member_record&) = default;
};

} // namespace monsoondock::membership

#pragma once

#include <monsoondock/membership/entry_mode.hpp>

#include <cstdint>

namespace monsoondock::membership {

/// Status that a member reports about itself. Within one incarnation, the
/// status with the higher sequence is the newer one.
struct member_status
{
    /// Assigned by the node; node::set_status ignores the value passed in.
    std::uint32_t sequence_ = 0;
    /// Settings revision that the member currently applies.
    std::uint64_t settings_revision_ = 0;
    /// Load in thousandths of the member's capacity.
    std::uint16_t load_permille_ = 0;
    entry_mode entry_mode_ = entry_mode::open;

    friend bool
    operator==(const member_status&, const member_status&) = default;
};

} // namespace monsoondock::membership

#pragma once

#include <monsoondock/base/identifier.hpp>

#include <cstdint>
#include <string>

namespace monsoondock::groups {

/// One host of the platform's list, with the operators' drains applied. The
/// list can lag behind the real state.
struct host_view
{
    base::host_id id_;
    std::string address_;
    base::data_centre_id data_centre_;
    base::fabric_domain_id domain_;
    /// True when the platform or an operator wants the host empty.
    bool leaving_ = false;
    std::uint32_t accelerators_ = 0;
    /// True when its engine refuses orders and requests of older generations.
    bool checks_generation_ = false;

    friend bool operator==(const host_view&, const host_view&) = default;
};

} // namespace monsoondock::groups

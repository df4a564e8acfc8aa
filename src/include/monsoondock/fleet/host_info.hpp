#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/fleet/group_role.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoondock::fleet {

/// What one upstream host says of itself in the platform's list.
struct host_info
{
    base::host_id id_;
    base::deployment_id deployment_;
    /// "ip:port" that takes requests and orders.
    std::string address_;
    base::data_centre_id data_centre_;
    /// Requests that the host runs at once.
    unsigned slots_ = 1;
    /// True when the host leaves and takes no new work.
    bool draining_ = false;
    /// When the host's process started, in milliseconds since 1970; a new
    /// value means that it has forgotten everything of before. 0: not told.
    std::int64_t process_start_ms_ = 0;
    /// Fabric domain; empty for a plain service.
    base::fabric_domain_id domain_;
    /// Models whose weights the host holds.
    std::vector<std::string> staged_;
    /// Model that the host runs or ran last; empty when none.
    std::string model_;
    std::optional<group_role> role_;

    friend bool operator==(const host_info&, const host_info&) = default;
};

} // namespace monsoondock::fleet

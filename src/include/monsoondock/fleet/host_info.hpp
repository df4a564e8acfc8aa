#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/fleet/group_role.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoondock::fleet {

/// State of one upstream host, as it publishes it in the platform's list.
struct host_info
{
    base::host_id id_;
    base::deployment_id deployment_;
    /// "ip:port" that accepts requests and placement orders.
    std::string address_;
    base::data_centre_id data_centre_;
    /// Requests that the host processes concurrently.
    unsigned slots_ = 1;
    /// True when the host is about to leave and accepts no new work.
    bool draining_ = false;
    /// Start of the host's process in milliseconds since 1970; 0 when not
    /// reported. A new value means that the process has lost all earlier state.
    std::int64_t process_start_ms_ = 0;
    /// Fabric domain, within which groups are formed; empty for a plain
    /// service.
    base::fabric_domain_id domain_;
    /// Models whose weights the host holds.
    std::vector<std::string> staged_;
    /// Model that the host runs or ran last; empty when there is none.
    std::string model_;
    /// Time for which the host is cold, as of the write of its entry. Whoever
    /// applies the entry turns it into a time point, once for each write.
    std::chrono::milliseconds cold_time_{0};
    /// Absent when the host is in no group.
    std::optional<group_role> role_;

    friend bool operator==(const host_info&, const host_info&) = default;
};

} // namespace monsoondock::fleet

#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/base/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace monsoondock::daemon {

/// Kind of workload that a host runs.
enum class host_kind
{
    model,
    service
};


/// Entry of the platform's list of hosts (`hosts/<host>`). The list lags behind
/// the actual state of the hosts.
struct host_record
{
    base::host_id host_;
    std::string address_;
    base::data_centre_id data_centre_;
    base::fabric_domain_id fabric_domain_;
    host_kind kind_ = host_kind::model;
    /// Deployment of a plain service; empty for a model host.
    base::deployment_id deployment_;
    /// True when the platform wants the host to be drained.
    bool leaving_ = false;
    std::uint32_t accelerators_ = 0;
    /// True when the engine of the host refuses orders with an old generation.
    bool checks_generation_ = false;

    friend bool operator==(const host_record&, const host_record&) = default;
};


/// Parses the value of `hosts/<host>`. Fails with problem code corrupt when a
/// field is missing or has a wrong type.
base::result<host_record>
parse_host_record(const base::host_id& host, std::string_view json);

} // namespace monsoondock::daemon

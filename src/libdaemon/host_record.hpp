#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/base/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace monsoondock::daemon {

/// What a host of the platform's list carries.
enum class host_kind
{
    model,
    service
};


/// One row of the platform's lagging list of hosts (`hosts/<host>`).
struct host_record
{
    base::host_id host_;
    std::string address_;
    base::data_centre_id data_centre_;
    base::fabric_domain_id fabric_domain_;
    host_kind kind_ = host_kind::model;
    /// Deployment of a plain service; empty for a model host.
    base::deployment_id deployment_;
    /// True when the platform wants the host empty.
    bool leaving_ = false;
    std::uint32_t accelerators_ = 0;
    /// True when its engine refuses orders with an old generation.
    bool checks_generation_ = false;

    friend bool operator==(const host_record&, const host_record&) = default;
};


/// Reads the value of `hosts/<host>`. Problem code corrupt names the member
/// that is missing or of a wrong type.
base::result<host_record>
parse_host_record(const base::host_id& host, std::string_view json);

} // namespace monsoondock::daemon

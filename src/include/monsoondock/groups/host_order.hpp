#pragma once

#include <monsoondock/base/generation.hpp>
#include <monsoondock/base/identifier.hpp>

#include <cstddef>
#include <vector>

namespace monsoondock::groups {

/// Action that an order requires of an engine.
enum class order_kind
{
    load,
    unload
};


/// Order of a domain's leader to the engine of one host to load or unload a
/// group.
struct host_order
{
    order_kind kind_ = order_kind::load;
    base::host_id host_;
    base::group_id group_;
    base::generation generation_;
    base::deployment_id deployment_;
    /// Rank of the host in the group; for load only.
    std::size_t rank_ = 0;
    /// All members in rank order; for load only.
    std::vector<base::host_id> members_;
};

} // namespace monsoondock::groups

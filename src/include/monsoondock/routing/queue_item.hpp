#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>

#include <cstdint>

namespace monsoondock::routing {

/// Priority class of a request.
enum class priority_class
{
    /// A user is waiting for the response.
    interactive,
    /// Batch work that only has to be done by its deadline.
    report
};


/// A queued request that waits for a group.
struct queue_item
{
    base::request_id request_;
    base::workspace_id workspace_;
    priority_class class_ = priority_class::interactive;
    /// Expected work, in tokens; at least one.
    std::uint32_t cost_ = 1;
    /// The request expires if it is still queued at this time.
    base::time_point deadline_;
};

} // namespace monsoondock::routing

#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>

#include <cstdint>

namespace monsoondock::routing {

/// Class of a request.
enum class priority_class
{
    /// A person waits for the answer.
    interactive,
    /// Needed by its deadline, not before.
    report
};


/// A request that waits for a group.
struct queue_item
{
    base::request_id request_;
    base::workspace_id workspace_;
    priority_class class_ = priority_class::interactive;
    /// Expected work, in tokens; at least one.
    std::uint32_t cost_ = 1;
    /// The request is given up when it has not left the queue by then.
    base::time_point deadline_;
};

} // namespace monsoondock::routing

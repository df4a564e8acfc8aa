#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>

namespace monsoondock::routing {

/// Load of a group as last reported by its engine.
struct load_report
{
    unsigned running_ = 0;
    unsigned queued_ = 0;
    base::time_point taken_at_;
};


/// A serving group to which a request may be sent.
struct group_view
{
    base::group_id group_;
    base::data_centre_id data_centre_;
    /// Number of requests that the group can run concurrently.
    unsigned slots_ = 1;
    load_report report_;
};

} // namespace monsoondock::routing

#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>

namespace monsoondock::routing {

/// Load of a group as its engine reported it some time ago.
struct load_report
{
    unsigned running_ = 0;
    unsigned queued_ = 0;
    base::time_point taken_at_;
};


/// A whole group to which a request may be sent.
struct group_view
{
    base::group_id group_;
    base::data_centre_id data_centre_;
    /// Requests that the group runs at once.
    unsigned slots_ = 1;
    load_report report_;
};

} // namespace monsoondock::routing

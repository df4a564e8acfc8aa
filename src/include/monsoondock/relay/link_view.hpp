#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/paths/helper.hpp>

#include <memory>
#include <set>

namespace monsoondock::relay {

/// State of this daemon's links to upstreams. The control thread replaces it as
/// a whole; it is immutable once published.
struct link_view
{
    /// Upstreams that other daemons reach and this one does not.
    std::set<base::host_id> cut_hosts_;
    /// Daemons that can serve requests for this one; empty while no link is
    /// cut.
    paths::helper_list helpers_;
};

using link_view_pointer = std::shared_ptr<const link_view>;

} // namespace monsoondock::relay

#pragma once

#include <monsoondock/catalog/catalog.hpp>
#include <monsoondock/relay/upstream.hpp>

#include <memory>
#include <unordered_map>
#include <vector>

namespace monsoondock::relay {

/// Everything that the traffic thread decides from, as the control thread
/// knew it at one moment. Immutable once published.
struct serving_view
{
    std::shared_ptr<const catalog::catalog> catalog_;
    std::unordered_map<base::deployment_id, std::vector<upstream>> upstreams_;
    /// Daemons that take callers, this one included.
    unsigned daemons_ = 1;
    /// True once this daemon leaves; answers then end their connections.
    bool stopping_ = false;
};

using view_pointer = std::shared_ptr<const serving_view>;

} // namespace monsoondock::relay

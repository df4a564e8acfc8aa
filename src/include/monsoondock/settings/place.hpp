#pragma once

#include <monsoondock/base/identifier.hpp>

#include <optional>

namespace monsoondock::settings {

/// Coordinates at which settings are looked up. A component that is
/// absent excludes its branch of the tree.
struct place
{
    std::optional<base::data_centre_id> data_centre_{};
    std::optional<base::deployment_id> deployment_{};
    std::optional<base::workspace_id> workspace_{};
    /// Ignored when data_centre_ is set, because a data centre is in only one
    /// region.
    std::optional<base::region_id> region_{};
};

} // namespace monsoondock::settings

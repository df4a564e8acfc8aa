#pragma once

#include <monsoondock/base/identifier.hpp>

#include <optional>

namespace monsoondock::settings {

/// Question to the settings tree: where, for whom and for which deployment.
/// A part that is absent leaves its branch of the tree out.
struct place
{
    std::optional<base::data_centre_id> data_centre_{};
    std::optional<base::deployment_id> deployment_{};
    std::optional<base::workspace_id> workspace_{};
    /// Only needed without a data centre, which names its region.
    std::optional<base::region_id> region_{};
};

} // namespace monsoondock::settings

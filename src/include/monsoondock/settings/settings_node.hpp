#pragma once

#include <monsoondock/settings/node_path.hpp>
#include <monsoondock/settings/revision.hpp>
#include <monsoondock/settings/settings_values.hpp>

namespace monsoondock::settings {

/// One node of the settings tree.
struct settings_node
{
    node_path path_;
    level level_ = level::organisation;
    /// Revision that last changed this node; 0 when not yet accepted.
    revision revision_;
    own_values values_;
};

} // namespace monsoondock::settings

#pragma once

#include <monsoondock/settings/tree_change.hpp>

#include <string>
#include <vector>

namespace monsoondock::settings {

/// Changes that are accepted together or not at all.
struct settings_edit
{
    std::vector<tree_change> changes_;
    std::string author_;
    std::string note_;
    /// Unique identifier of this edit, such as a random number as text.
    std::string token_;
};

} // namespace monsoondock::settings

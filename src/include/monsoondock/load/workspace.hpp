#pragma once

#include <monsoondock/base/identifier.hpp>

#include <string>

namespace monsoondock::load {

/// A workspace on whose behalf the tool sends requests.
struct workspace
{
    base::workspace_id id_;
    /// API key that names the workspace to the daemons.
    std::string key_;
};

} // namespace monsoondock::load

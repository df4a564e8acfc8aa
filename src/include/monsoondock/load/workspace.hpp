#pragma once

#include <monsoondock/base/identifier.hpp>

#include <string>

namespace monsoondock::load {

/// A workspace on whose behalf the tool sends requests.
struct workspace
{
    base::workspace_id id_;
    /// API key with which the workspace authenticates.
    std::string api_key_;
};

} // namespace monsoondock::load

#pragma once

#include <monsoondock/base/identifier.hpp>

#include <optional>

namespace monsoondock::catalog {

/// Workspace that a key belongs to.
struct key_holder
{
    base::workspace_id workspace_;
    /// Goes before the priority of the route when present; 0 is first.
    std::optional<unsigned> priority_;
};

} // namespace monsoondock::catalog

#pragma once

#include <monsoondock/base/identifier.hpp>

#include <optional>

namespace monsoondock::catalog {

/// Owner of an API key.
struct key_holder
{
    base::workspace_id workspace_;
    /// Overrides the priority of the route when present; 0 is the most urgent.
    std::optional<unsigned> priority_;
};

} // namespace monsoondock::catalog

#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/catalog/engine.hpp>

#include <optional>

namespace monsoondock::catalog {

/// A set of interchangeable upstreams: hosts that run a model engine, or a
/// plain service.
struct deployment
{
    base::deployment_id id_;
    /// Connections that one upstream host accepts in total.
    unsigned max_connections_ = 0;
    /// Present for model engines only.
    std::optional<engine> engine_;
};

} // namespace monsoondock::catalog

#pragma once

#include "exchange.hpp"

#include <monsoondock/catalog/engine.hpp>

namespace monsoondock::relay::pvt {

/// Engine that serves a request, and the time factor of its model.
struct serving_engine
{
    /// Null when the model, or the figures of its engine, are not known.
    const catalog::engine* engine_ = nullptr;
    double time_factor_ = 1.0;
};


/// Returns the engine that serves the model of a request.
serving_engine find_engine(const exchange& e);

} // namespace monsoondock::relay::pvt

#pragma once

#include "forward_context.hpp"

#include <monsoondock/metrics/label.hpp>

namespace monsoondock::relay::pvt {

/// Returns the labels of the metrics of a request.
metrics::label label_of(const exchange& e);


/// Counts the request in the demand of its model.
void record_demand(forward_context& c);


/// Logs how a try at an upstream ended.
void log_try(const forward_context& c, const upstream& u, try_outcome outcome);


/// Logs and counts that the request is passed on to another daemon.
void record_detour(forward_context& c, const paths::helper& helper);


/// Logs how a detour ended.
void log_detour_end(
    const forward_context& c, const paths::helper& helper, try_outcome outcome);


/// Logs and counts the request at its end.
void record_request(forward_context& c);

} // namespace monsoondock::relay::pvt

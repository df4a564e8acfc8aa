#pragma once

#include <monsoondock/admission/prediction.hpp>

#include <vector>

namespace monsoondock::admission {

/// Returns how many of the given number of requests each upstream gets when
/// they fill the upstreams with the fewest requests for each slot first, as
/// relay::choose_upstream distributes them. The numbers add up to requests,
/// which must be positive.
std::vector<double>
distribute(const std::vector<upstream_load>& upstreams, double requests);

} // namespace monsoondock::admission

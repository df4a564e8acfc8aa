#pragma once

#include <cstddef>
#include <random>

namespace monsoondock::load::pvt {

/// Returns a distribution of 0 to count - 1 in which item i has a weight of
/// 1 / (i + 1)^exponent.
std::discrete_distribution<std::size_t>
zipf(std::size_t count, double exponent);

} // namespace monsoondock::load::pvt

#pragma once

#include <chrono>
#include <cstddef>

namespace monsoondock::hostpace {

/// Time with fractions, as measured and predicted.
using fractional_ms = std::chrono::duration<double, std::milli>;

/// Ranges of load that are told apart: quarters of the slots of an upstream.
inline constexpr std::size_t load_levels = 4;


/// Returns the level, from 0 to load_levels - 1, at which an upstream runs that
/// has a number of requests in progress, including the one that is measured.
std::size_t load_level(unsigned load, unsigned slots) noexcept;

} // namespace monsoondock::hostpace

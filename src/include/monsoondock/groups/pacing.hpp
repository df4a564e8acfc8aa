#pragma once

#include <chrono>
#include <cstddef>

namespace monsoondock::groups {

/// Bytes on the network of one status probe and its answer over a kept-open
/// connection, headers of IP and TCP included.
inline constexpr std::size_t PROBE_BYTES = 450;

/// Bytes each second that a daemon spends on probes.
inline constexpr std::size_t PROBE_BYTES_PER_SECOND = 2600;

/// Bytes each second that a daemon spends on verdicts, asked and answered.
inline constexpr std::size_t HEALTH_BYTES_PER_SECOND = 3400;


/// Returns the time between two rounds of messages of bytes_each, so that they
/// stay within bytes_per_second; at least shortest and at most longest.
std::chrono::milliseconds paced_interval(
    std::size_t messages,
    std::size_t bytes_each,
    std::size_t bytes_per_second,
    std::chrono::milliseconds shortest,
    std::chrono::milliseconds longest);

} // namespace monsoondock::groups

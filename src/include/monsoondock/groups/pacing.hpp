#pragma once

#include <chrono>
#include <cstddef>

namespace monsoondock::groups {

/// Network bytes of one status probe and its answer over a persistent
/// connection, IP and TCP headers included.
inline constexpr std::size_t PROBE_BYTES = 450;

/// Bandwidth that a daemon may spend on probes, in bytes per second.
inline constexpr std::size_t PROBE_BYTES_PER_SECOND = 2600;

/// Bandwidth that a daemon may spend on health requests and replies, sent and
/// received, in bytes per second.
inline constexpr std::size_t HEALTH_BYTES_PER_SECOND = 3400;


/// Returns the time between two rounds of messages, each of bytes_each bytes,
/// that keeps them within bytes_per_second. The result is limited to the range
/// from shortest to longest, even if messages at the longest interval exceed
/// the bandwidth.
std::chrono::milliseconds paced_interval(
    std::size_t messages,
    std::size_t bytes_each,
    std::size_t bytes_per_second,
    std::chrono::milliseconds shortest,
    std::chrono::milliseconds longest);

} // namespace monsoondock::groups

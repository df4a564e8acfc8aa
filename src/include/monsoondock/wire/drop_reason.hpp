#pragma once

#include <cstddef>
#include <cstdint>

namespace monsoondock::wire {

/// Why a received envelope was dropped.
enum class drop_reason : std::uint8_t
{
    /// Shorter than the shortest valid envelope.
    truncated,
    /// Longer than the limit given to opener::open.
    oversized,
    /// Protocol version other than PROTOCOL_VERSION.
    version,
    /// Key number of neither the current nor the previous key.
    unknown_key,
    /// The message authentication code does not match the bytes or the
    /// audience.
    forged,
    /// Authentic, but the content can't be decoded.
    malformed,
    /// Received before, too old for the replay window, or from an earlier
    /// incarnation of the sender.
    replayed
};


inline constexpr std::size_t DROP_REASON_COUNT = 7;


/// Returns the name of a reason for metrics and logs.
const char* to_string(drop_reason reason) noexcept;

} // namespace monsoondock::wire

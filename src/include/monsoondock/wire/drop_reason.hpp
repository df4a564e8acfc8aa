#pragma once

#include <cstddef>
#include <cstdint>

namespace monsoondock::wire {

/// Why a received envelope was dropped.
enum class drop_reason : std::uint8_t
{
    /// Shorter than any envelope.
    truncated,
    /// Longer than the limit.
    oversized,
    /// Another protocol version.
    version,
    /// Neither the current nor the previous key.
    unknown_key,
    /// The authentication code does not match the bytes or the receiver.
    forged,
    /// Authentic, but its content is not an envelope.
    malformed,
    /// Seen before, too old to tell, or of an earlier life of the sender.
    replayed
};


/// Number of reasons.
inline constexpr std::size_t DROP_REASON_COUNT = 7;


/// Returns the name of a reason as it appears in metrics and logs.
const char* to_string(drop_reason reason) noexcept;

} // namespace monsoondock::wire

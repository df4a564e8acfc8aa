#pragma once

#include <cstddef>
#include <cstdint>

namespace monsoondock::wire {

/// Version of the envelope format; envelopes of other versions are dropped.
inline constexpr std::uint8_t PROTOCOL_VERSION = 1;

/// Maximum size of a sealed datagram.
inline constexpr std::size_t MAX_DATAGRAM_BYTES = 1200;

/// Maximum size of a sealed envelope on a TCP connection, without the length
/// prefix of its frame.
inline constexpr std::size_t MAX_FRAME_BYTES = std::size_t{4} * 1024 * 1024;

/// Maximum length of a sender's daemon ID.
inline constexpr std::size_t MAX_SENDER_BYTES = 63;

/// Length of the truncated message authentication code.
inline constexpr std::size_t MAC_BYTES = 16;

/// Upper bound on the bytes that an envelope adds to its body: sender, message
/// authentication code and at most 26 bytes for all other fields.
inline constexpr std::size_t MAX_ENVELOPE_OVERHEAD_BYTES =
    MAX_SENDER_BYTES + MAC_BYTES + 26;

} // namespace monsoondock::wire

#pragma once

#include <cstddef>
#include <cstdint>

namespace monsoondock::wire {

/// Version of the envelope; another one is dropped.
inline constexpr std::uint8_t PROTOCOL_VERSION = 1;

/// Largest sealed datagram.
inline constexpr std::size_t MAX_DATAGRAM_BYTES = 1200;

/// Largest sealed frame on a TCP connection, without its length.
inline constexpr std::size_t MAX_FRAME_BYTES = std::size_t{4} * 1024 * 1024;

/// Longest name of a sender.
inline constexpr std::size_t MAX_SENDER_BYTES = 63;

/// Length of the message authentication code.
inline constexpr std::size_t MAC_BYTES = 16;

/// Most bytes that an envelope adds to a body.
inline constexpr std::size_t MAX_ENVELOPE_OVERHEAD_BYTES =
    MAX_SENDER_BYTES + MAC_BYTES + 26;

} // namespace monsoondock::wire

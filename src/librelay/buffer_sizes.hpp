#pragma once

#include <cstddef>

namespace monsoondock::relay::pvt {

/// Size in bytes of the socket buffers that hold what a caller has not read,
/// what an upstream has not read, and what has not been read from an upstream.
/// Left to itself, the system lets each of them grow to several megabytes for
/// an end that reads slowly. 64 KiB in a round trip of 3 ms are 20 MB/s, far
/// above the pace of a stream.
inline constexpr int socket_buffer_bytes = 64 * 1024;


/// Maximum number of bytes of a stream that are read at once, and thus held
/// while a caller does not read, beside an event that is larger.
inline constexpr std::size_t stream_read_bytes = std::size_t{32} * 1024;

} // namespace monsoondock::relay::pvt

#pragma once

#include <cstddef>
#include <cstdint>

namespace monsoondock::wire {

/// Kind of message that an envelope carries. Each channel has its own sequence
/// numbers. The numeric values are part of the protocol.
enum class channel : std::uint8_t
{
    /// Datagrams of the membership protocol.
    membership,
    /// Datagrams about the health of model groups.
    group_health,
    /// Requests over TCP.
    request,
    /// Replies to these requests.
    reply
};


inline constexpr std::size_t CHANNEL_COUNT = 4;

} // namespace monsoondock::wire

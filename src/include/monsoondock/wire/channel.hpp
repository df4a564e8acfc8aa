#pragma once

#include <cstddef>
#include <cstdint>

namespace monsoondock::wire {

/// What the body of an envelope is for. Each channel has its own sequence.
enum class channel : std::uint8_t
{
    membership,
    group_health,
    request,
    reply
};


/// Number of channels.
inline constexpr std::size_t CHANNEL_COUNT = 4;

} // namespace monsoondock::wire

#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace monsoondock::wire {

/// Secret shared by all daemons, with the number that identifies it in
/// envelopes.
struct key
{
    std::uint8_t number_ = 0;
    std::string secret_;
};


/// Keys in use. Envelopes are sealed with the current key; the previous one is
/// still accepted, so that keys can be rotated one daemon at a time.
struct key_ring
{
    key current_;
    std::optional<key> previous_;
};

} // namespace monsoondock::wire

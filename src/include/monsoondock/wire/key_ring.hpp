#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace monsoondock::wire {

/// Secret shared by all daemons, with the number that names it in datagrams.
struct key
{
    std::uint8_t number_ = 0;
    std::string secret_;
};


/// Keys in use. Datagrams are sealed with the current one; the previous one
/// is accepted too, so that daemons can change keys one after the other.
struct key_ring
{
    key current_;
    std::optional<key> previous_;
};

} // namespace monsoondock::wire

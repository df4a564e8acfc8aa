#pragma once

#include <monsoondock/membership/endpoint.hpp>

#include <cstddef>
#include <string>

namespace monsoondock::membership {

/// Largest body in bytes that a node sends or accepts. With the envelope that
/// the wire library adds, a datagram stays within 1,200 bytes.
inline constexpr std::size_t MAX_BODY_BYTES = 1060;


/// Unsealed body of a UDP datagram to send to, or received from, a peer.
struct datagram
{
    endpoint peer_;
    std::string body_;
};

} // namespace monsoondock::membership

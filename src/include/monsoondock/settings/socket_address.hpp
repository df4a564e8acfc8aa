#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::settings {

/// IP address and port of a TCP or UDP socket.
struct socket_address
{
    /// IPv4 or IPv6 address as text, without brackets.
    std::string ip_;
    std::uint16_t port_ = 0;

    friend bool
    operator==(const socket_address&, const socket_address&) = default;
};


/// Parses `ip:port` or `[ipv6]:port`. Returns nothing for any other text, such
/// as port 0 or a host name.
std::optional<socket_address> parse_socket_address(std::string_view text);


/// Returns `ip:port`, with brackets around an IPv6 address.
std::string to_string(const socket_address& address);

} // namespace monsoondock::settings

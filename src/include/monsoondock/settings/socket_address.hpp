#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::settings {

/// IP number and port of a TCP or UDP socket.
struct socket_address
{
    /// IPv4 or IPv6 number in text, without brackets.
    std::string ip_;
    std::uint16_t port_ = 0;

    friend bool
    operator==(const socket_address&, const socket_address&) = default;
};


/// Reads `ip:port` or `[ipv6]:port`. Returns nothing when the text is not
/// one of these, the port is 0 or a host name stands in place of the number.
std::optional<socket_address> parse_socket_address(std::string_view text);


/// Returns `ip:port`, with brackets around an IPv6 number.
std::string to_string(const socket_address& address);

} // namespace monsoondock::settings

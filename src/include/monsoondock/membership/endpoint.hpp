#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::membership {

/// IPv4 address and port of a socket.
struct endpoint
{
    /// Address in host byte order.
    std::uint32_t address_ = 0;
    std::uint16_t port_ = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};


/// Returns "a.b.c.d:port".
std::string to_string(const endpoint& e);


/// Parses "a.b.c.d:port". Returns nullopt when the text has another form, a
/// number is out of range or the port is zero.
std::optional<endpoint> parse_endpoint(std::string_view text);

} // namespace monsoondock::membership

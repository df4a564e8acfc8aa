#include <monsoondock/settings/socket_address.hpp>

#include <arpa/inet.h>
#include <charconv>

namespace monsoondock::settings {

namespace {

bool is_ip_address(const std::string& text, int family)
{
    in6_addr buffer{};
    return inet_pton(family, text.c_str(), &buffer) == 1;
}


std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, port);
    if (error != std::errc{} || stop != end || port == 0)
        return std::nullopt;
    return port;
}

} // namespace

std::optional<socket_address> parse_socket_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto port = parse_port(text.substr(colon + 1));
    std::string_view ip = text.substr(0, colon);
    int family = AF_INET;
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
        family = AF_INET6;
    }
    if (!port || !is_ip_address(std::string(ip), family))
        return std::nullopt;
    return socket_address{std::string(ip), *port};
}


std::string to_string(const socket_address& address)
{
    const bool v6 = address.ip_.find(':') != std::string::npos;
    const std::string ip = v6 ? "[" + address.ip_ + "]" : address.ip_;
    return ip + ":" + std::to_string(address.port_);
}

} // namespace monsoondock::settings

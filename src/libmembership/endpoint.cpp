#include <monsoondock/membership/endpoint.hpp>

#include <charconv>

namespace monsoondock::membership {

namespace {

/// Consumes a decimal number of at most limit from the front of text.
std::optional<std::uint32_t>
take_number(std::string_view& text, std::uint32_t limit)
{
    std::uint32_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [next, problem] = std::from_chars(text.data(), end, number);
    if (problem != std::errc() || number > limit)
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(next - text.data()));
    return number;
}


bool take_character(std::string_view& text, char wanted)
{
    if (text.empty() || text.front() != wanted)
        return false;
    text.remove_prefix(1);
    return true;
}

} // namespace

std::string to_string(const endpoint& e)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        text += std::to_string((e.address_ >> shift) & 0xffU);
        text += shift == 0 ? ':' : '.';
    }
    return text + std::to_string(e.port_);
}


std::optional<endpoint> parse_endpoint(std::string_view text)
{
    endpoint e;
    for (int part = 0; part < 4; ++part) {
        const auto number = take_number(text, 255);
        if (!number || !take_character(text, part == 3 ? ':' : '.'))
            return std::nullopt;
        e.address_ = (e.address_ << 8) | *number;
    }
    const auto port = take_number(text, 65535);
    if (!port || *port == 0 || !text.empty())
        return std::nullopt;
    e.port_ = static_cast<std::uint16_t>(*port);
    return e;
}

} // namespace monsoondock::membership

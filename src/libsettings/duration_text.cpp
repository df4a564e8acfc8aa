#include <monsoondock/settings/duration_text.hpp>

#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace monsoondock::settings {

namespace {

struct unit
{
    std::string_view name_;
    std::int64_t milliseconds_;
};

constexpr std::array<unit, 5> UNITS{
    {{"d", 86'400'000},
     {"h", 3'600'000},
     {"min", 60'000},
     {"s", 1'000},
     {"ms", 1}}};

constexpr double MAX_COUNT = 1e9;

} // namespace

std::optional<std::chrono::milliseconds> parse_duration(std::string_view text)
{
    // from_chars would also accept a sign and names such as "inf".
    if (text.empty() || text[0] < '0' || text[0] > '9')
        return std::nullopt;
    double count = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] =
        std::from_chars(text.data(), end, count, std::chars_format::fixed);
    if (error != std::errc{} || count > MAX_COUNT)
        return std::nullopt;
    const std::string_view name(stop, static_cast<std::size_t>(end - stop));
    for (const unit& u : UNITS) {
        if (u.name_ == name)
            return std::chrono::milliseconds(
                std::llround(count * static_cast<double>(u.milliseconds_)));
    }
    return std::nullopt;
}


std::string duration_text(std::chrono::milliseconds length)
{
    const std::int64_t count = length.count();
    for (const unit& u : UNITS) {
        if (count != 0 && count % u.milliseconds_ == 0)
            return std::to_string(count / u.milliseconds_) +
                   std::string(u.name_);
    }
    return "0s";
}

} // namespace monsoondock::settings

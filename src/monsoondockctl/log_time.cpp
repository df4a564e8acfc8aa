#include "log_time.hpp"

#include <array>
#include <cstdio>

namespace monsoondockctl {

std::optional<log_time> parse_log_time(const std::string& text)
{
    std::array<int, 7> v{};
    const int read = std::sscanf(
        text.c_str(),
        "%4d-%2d-%2dT%2d:%2d:%2d.%3dZ",
        &v[0],
        &v[1],
        &v[2],
        &v[3],
        &v[4],
        &v[5],
        &v[6]);
    if (read != 7)
        return std::nullopt;
    const std::chrono::year_month_day day{
        std::chrono::year(v[0]),
        std::chrono::month(static_cast<unsigned>(v[1])),
        std::chrono::day(static_cast<unsigned>(v[2]))};
    if (!day.ok())
        return std::nullopt;
    return std::chrono::sys_days(day) + std::chrono::hours(v[3]) +
           std::chrono::minutes(v[4]) + std::chrono::seconds(v[5]) +
           std::chrono::milliseconds(v[6]);
}

} // namespace monsoondockctl

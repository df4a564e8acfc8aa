#include <monsoondock/relay/proxy_callbacks.hpp>

#include <algorithm>
#include <cmath>

namespace monsoondock::relay {

namespace {

constexpr std::chrono::milliseconds shortest_report_period{150};
// Up to this many daemons the load reports are less than 1 % of their traffic.
constexpr double few_daemons = 16;

} // namespace

std::chrono::milliseconds load_report_period(unsigned daemons)
{
    const double stretch = std::sqrt(std::max(1.0, daemons / few_daemons));
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        shortest_report_period * stretch);
}


const char* to_string(unhealthy_reason reason) noexcept
{
    switch (reason) {
    case unhealthy_reason::silent:
        return "silent";
    case unhealthy_reason::unreachable:
        return "unreachable";
    case unhealthy_reason::group_failed:
        return "group_failed";
    }
    return "unknown";
}

} // namespace monsoondock::relay

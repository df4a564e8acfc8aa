#include <monsoondock/hostlimits/pause.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace monsoondock::hostlimits {

std::optional<std::chrono::milliseconds>
parse_retry_after(std::string_view text)
{
    double seconds = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, failure] =
        std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    if (failure != std::errc() || stop != end || !std::isfinite(seconds) ||
        seconds <= 0)
        return std::nullopt;
    const std::chrono::duration<double> longest = max_pause;
    const std::chrono::duration<double> pause(
        std::min(seconds, longest.count()));
    return std::chrono::ceil<std::chrono::milliseconds>(pause);
}

} // namespace monsoondock::hostlimits

#include <monsoondock/hostpace/load_level.hpp>

#include <algorithm>

namespace monsoondock::hostpace {

std::size_t load_level(unsigned load, unsigned slots) noexcept
{
    const std::size_t others = std::max(1U, load) - 1;
    return std::min(
        load_levels - 1, load_levels * others / std::max(1U, slots));
}

} // namespace monsoondock::hostpace

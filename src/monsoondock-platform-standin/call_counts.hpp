#pragma once

#include <cstdint>

namespace monsoondock::platform_standin {

/// Calls that arrived, also those that were refused; a watch counts once.
struct call_counts
{
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t watches_ = 0;
};

} // namespace monsoondock::platform_standin

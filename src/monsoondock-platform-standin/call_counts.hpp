#pragma once

#include <cstdint>

namespace monsoondock::platform_standin {

/// Requests received by the object API, including failed ones. A watch counts
/// once however long it waits.
struct call_counts
{
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t watches_ = 0;
};

} // namespace monsoondock::platform_standin

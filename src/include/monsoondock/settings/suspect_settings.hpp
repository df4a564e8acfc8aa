#pragma once

#include <chrono>
#include <cstdint>

namespace monsoondock::settings {

/// Settings of the quarantine of requests that crash upstreams.
template <template <class> class Wrap>
struct suspect_settings
{
    /// Number of group crashes after which the request is refused.
    Wrap<std::uint64_t> max_crashes_;
    /// Time for which the request is refused.
    Wrap<std::chrono::milliseconds> retention_;
};

} // namespace monsoondock::settings

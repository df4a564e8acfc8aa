#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/hostpace/pace_sums.hpp>

#include <cstdint>

namespace monsoondock::hostpace {

/// What one or several daemons have measured at an upstream.
struct pace_report
{
    base::host_id host_;
    /// Process of the host, in milliseconds since 1970; evidence of another
    /// process is dropped.
    std::int64_t process_start_ms_ = 0;
    pace_sums sums_;

    friend bool operator==(const pace_report&, const pace_report&) = default;
};

} // namespace monsoondock::hostpace

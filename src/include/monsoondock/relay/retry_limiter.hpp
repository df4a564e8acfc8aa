#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <array>
#include <chrono>
#include <cstdint>

namespace monsoondock::relay {

/// Limit on retries over a sliding window. A retry is any send of a request to
/// an upstream after the first one.
struct retry_limit
{
    std::chrono::milliseconds window_{10000};
    /// Retries allowed per request in the window.
    double ratio_ = 0.2;
    /// Retries allowed in addition, shared by all daemons.
    double slack_ = 100;
    /// The slack is unavailable before this time, because retries that the
    /// daemon made before a restart may still be within the window.
    base::time_point slack_available_from_;
};


/// Limits the retries of one deployment at one daemon, so that retries cannot
/// multiply the load during an outage.
///
/// Each daemon counts independently, yet all daemons together stay within the
/// limit: retries of the whole window are compared with the requests of its
/// last half, and a share of the limit is left unused to allow for windows that
/// are not aligned between daemons.
class retry_limiter
{
public:
    explicit retry_limiter(retry_limit limit) : limit_(limit) {}


    /// Records a request received from a caller.
    void add_request(base::time_point now);


    /// Reserves one retry. Returns false when the limit is reached.
    ///
    /// daemons is the current number of daemons that share the slack. The
    /// largest number within the window applies, because daemons that have left
    /// since then may have used their share.
    bool take_retry(unsigned daemons, base::time_point now);

private:
    static constexpr std::size_t slices_in_window = 10;
    // One more, because the oldest slice is only partly within the window.
    static constexpr std::size_t slice_count = slices_in_window + 1;

    struct slice
    {
        std::int64_t number_ = -1;
        std::uint32_t requests_ = 0;
        std::uint32_t retries_ = 0;
        unsigned daemons_ = 1;
    };

    slice& current(base::time_point now);

    retry_limit limit_;
    std::array<slice, slice_count> slices_{};
};

} // namespace monsoondock::relay

#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <array>
#include <chrono>
#include <cstdint>

namespace monsoondock::relay {

/// Limit on sends beyond the first of each request, over a sliding window.
struct retry_limit
{
    std::chrono::milliseconds window_{10000};
    /// Repeats allowed for each request in the window.
    double ratio_ = 0.2;
    /// Repeats allowed on top, over all daemons together.
    double slack_ = 100;
    /// No slack before this time: what a daemon used of it before it started
    /// again may still count.
    base::time_point slack_available_from_;
};


/// Counts first sends and repeats of one deployment at one daemon, so that
/// retries cannot multiply the load of an outage.
///
/// Daemons count by themselves and keep the limit together: repeats are held
/// against the requests of the last half of the window, and a part of the
/// limit is left unused for what their windows differ.
class retry_limiter
{
public:
    explicit retry_limiter(retry_limit limit) : limit_(limit) {}


    /// A request of a caller came.
    void add_request(base::time_point now);


    /// Takes one repeat. daemons is the number of daemons that share the
    /// slack; the largest of the window counts, as those that are gone have
    /// used their part. Returns false when the limit is reached.
    bool take_retry(unsigned daemons, base::time_point now);

private:
    static constexpr std::size_t slices_in_window = 10;
    // The oldest slice is within the window in part.
    static constexpr std::size_t slice_count = slices_in_window + 1;

    struct slice
    {
        std::int64_t number_ = -1;
        std::uint32_t requests_ = 0;
        std::uint32_t repeats_ = 0;
        unsigned daemons_ = 1;
    };

    slice& current(base::time_point now);

    retry_limit limit_;
    std::array<slice, slice_count> slices_{};
};

} // namespace monsoondock::relay

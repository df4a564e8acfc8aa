#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>

#include <chrono>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace monsoondock::relay {

/// Report that an upstream failed while it processed a request, or that the
/// request was completed.
struct crash_report
{
    /// Stable hash that is equal for a request and its resubmissions.
    std::uint64_t fingerprint_ = 0;
    base::host_id host_;
    /// True when the request received a complete response, which shows that it
    /// does not crash upstreams. host_ is then empty.
    bool completed_ = false;
};


/// Detects requests that crash every upstream that runs them. Callers resubmit
/// such a request to any daemon, so daemons share their reports.
class crash_tracker
{
public:
    /// A request is refused once it has crashed this many upstreams.
    static constexpr std::size_t max_crashes = 3;
    /// Time after the last report of a request until its reports expire.
    static constexpr std::chrono::minutes retention{5};
    /// Maximum number of requests that are tracked.
    static constexpr std::size_t max_entries = 4096;
    /// Minimum time for which a completed request is not suspected, unless more
    /// than max_entries others are completed meanwhile.
    static constexpr std::chrono::seconds completion_memory{60};


    /// Records a report of this daemon or of a peer. Crashes are not counted
    /// for a request that was completed lately.
    void add(const crash_report& report, base::time_point now);


    /// Records that the request received a complete response. Returns true when
    /// crashes had been counted for it; peers should then be told.
    bool mark_completed(std::uint64_t fingerprint, base::time_point now);


    /// Returns the number of upstreams that failed while they processed the
    /// request, or 0 when the request was completed since, or lately before.
    std::size_t
    crash_count(std::uint64_t fingerprint, base::time_point now) const;

private:
    struct entry
    {
        std::set<base::host_id> hosts_;
        base::time_point last_;
    };

    void remember_completed(std::uint64_t fingerprint, base::time_point now);
    bool was_completed(std::uint64_t fingerprint, base::time_point now) const;

    std::unordered_map<std::uint64_t, entry> entries_;
    /// Requests completed since latest_since_, and those of the period before.
    std::unordered_set<std::uint64_t> latest_completed_;
    std::unordered_set<std::uint64_t> earlier_completed_;
    base::time_point latest_since_;
};

} // namespace monsoondock::relay

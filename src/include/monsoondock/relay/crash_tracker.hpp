#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>

#include <chrono>
#include <cstdint>
#include <set>
#include <unordered_map>

namespace monsoondock::relay {

/// An upstream fell while it had a request, or the request was answered.
struct crash_report
{
    /// Stable hash of what makes two requests the same one sent again.
    std::uint64_t fingerprint_ = 0;
    base::host_id host_;
    /// True when the request got a whole answer, which shows that it does not
    /// bring upstreams down; host_ is then empty.
    bool completed_ = false;
};


/// Finds requests that bring down each upstream that runs them. Callers send
/// such a request again, to any daemon, so daemons share their reports.
class crash_tracker
{
public:
    /// Upstreams that a request may bring down before it is refused.
    static constexpr std::size_t max_crashes = 3;
    /// How long a report counts.
    static constexpr std::chrono::minutes retention{5};
    /// Largest number of requests remembered.
    static constexpr std::size_t max_entries = 4096;


    /// Takes a report of this daemon or of a peer. Crashes under a request that
    /// was proven harmless are not counted.
    void add(const crash_report& report, base::time_point now);


    /// The request got a whole answer. Returns true when crash_count had been
    /// counted against it, which peers should hear.
    bool mark_completed(std::uint64_t fingerprint, base::time_point now);


    /// Returns how many upstreams a request has brought down.
    std::size_t
    crash_count(std::uint64_t fingerprint, base::time_point now) const;

private:
    struct entry
    {
        std::set<base::host_id> hosts_;
        base::time_point last_;
        bool completed_ = false;
    };

    std::unordered_map<std::uint64_t, entry> entries_;
};

} // namespace monsoondock::relay

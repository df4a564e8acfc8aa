#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace monsoondock::admission {

/// Remembers the requests that this daemon has refused, so that those of
/// callers that return are recognised. Bounded in time and number; the oldest
/// are forgotten first.
class refused_requests
{
public:
    /// At least the longest time after which a caller returns.
    static constexpr std::chrono::milliseconds memory{5000};
    /// About 1 MB.
    static constexpr std::size_t max_requests = 8192;


    /// Records a refused request by its fingerprint, which is the same when the
    /// caller returns. Times must not decrease between calls.
    void add(std::uint64_t fingerprint, base::time_point now);


    /// Returns true when a request with the fingerprint was refused within
    /// memory.
    bool contains(std::uint64_t fingerprint, base::time_point now) const;

private:
    struct refusal
    {
        std::uint64_t fingerprint_ = 0;
        base::time_point at_;
    };

    std::deque<refusal> by_time_;
    /// Time of the latest refusal of each.
    std::unordered_map<std::uint64_t, base::time_point> latest_;
};

} // namespace monsoondock::admission

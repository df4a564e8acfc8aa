#pragma once

#include <monsoondock/admission/service_times.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace monsoondock::admission {

/// Recognises requests of callers that have been refused by any daemon, by the
/// time left until their deadline: callers of a route that have the same time
/// for each request have less of it when they return.
class usual_deadline
{
public:
    /// Requests after which the usual time is determined anew.
    static constexpr unsigned period = 32;
    /// Times that differ by less than this count as the same.
    static constexpr std::chrono::milliseconds resolution{25};
    /// Part of the requests that must have the same time. A caller returns
    /// once, so that those with the full time are at least half of all.
    static constexpr double min_part = 0.4;
    /// A caller returns with at least this part of its time.
    static constexpr double min_remaining_part = 0.5;


    /// Records the time left of a request as it arrived.
    void add(milliseconds time_left);


    /// Returns true when the time left is shorter than the usual one by as much
    /// as that of a caller that has returned. False when there is no usual one.
    bool is_returned(milliseconds time_left) const;

private:
    std::map<std::int64_t, unsigned> counts_;
    unsigned total_ = 0;
    std::optional<std::int64_t> usual_;
};

} // namespace monsoondock::admission

#include <monsoondock/relay/drain_schedule.hpp>

#include <algorithm>

namespace monsoondock::relay {

acceptance assess(
    const drain_schedule& schedule,
    base::time_point now,
    const response_end& end) noexcept
{
    if (end.deadline_ <= schedule.exit_at_)
        return acceptance::due_in_time;
    if (now < schedule.accept_until_ && end.expected_ <= schedule.exit_at_)
        return acceptance::expected_in_time;
    return acceptance::rejected;
}


std::chrono::milliseconds
others_ready_in(const drain_schedule& schedule, base::time_point now) noexcept
{
    using std::chrono::milliseconds;
    return std::max(
        milliseconds{0},
        std::chrono::ceil<milliseconds>(schedule.others_ready_at_ - now));
}


const char* to_string(acceptance a) noexcept
{
    switch (a) {
    case acceptance::rejected:
        return "rejected";
    case acceptance::due_in_time:
        return "due_in_time";
    case acceptance::expected_in_time:
        return "expected_in_time";
    }
    return "unknown";
}

} // namespace monsoondock::relay

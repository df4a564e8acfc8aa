#include <monsoondock/relay/drain_schedule.hpp>

namespace monsoondock::relay {

bool accepts(
    const drain_schedule& schedule,
    base::time_point now,
    base::time_point deadline,
    base::time_point expected_end) noexcept
{
    if (deadline <= schedule.exit_at_)
        return true;
    return now < schedule.accept_until_ && expected_end <= schedule.exit_at_;
}

} // namespace monsoondock::relay

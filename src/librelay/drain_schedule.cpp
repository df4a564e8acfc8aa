#include <monsoondock/relay/drain_schedule.hpp>

namespace monsoondock::relay {

bool accepts(
    const drain_schedule& schedule,
    base::time_point now,
    const response_end& end) noexcept
{
    if (end.deadline_ <= schedule.exit_at_)
        return true;
    if (now < schedule.accept_until_ && end.expected_ <= schedule.exit_at_)
        return true;
    return now < schedule.cover_until_ && end.latest_ <= schedule.exit_at_;
}

} // namespace monsoondock::relay

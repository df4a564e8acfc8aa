#include "rejection_pause.hpp"

namespace monsoondock::relay::pvt {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds others_ready_pause{50};
// Daemons that restart are ready within a second or two.
constexpr milliseconds others_restart_pause{1000};

} // namespace

milliseconds
rejection_pause(const drain_schedule& schedule, base::time_point now) noexcept
{
    return now < schedule.cover_until_ ? others_restart_pause
                                       : others_ready_pause;
}

} // namespace monsoondock::relay::pvt

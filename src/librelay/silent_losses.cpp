#include "silent_losses.hpp"

#include <algorithm>

namespace monsoondock::relay::pvt {

silence_state assess_silence(
    const silent_loss& loss,
    base::time_point last_response,
    std::int64_t process_start_ms,
    base::time_point now)
{
    const bool responded = loss.responded_at_ != base::time_point();
    const auto silence =
        responded ? loss.responded_at_ - loss.silent_since_
                  : now - std::max(loss.silent_since_, last_response);
    const bool restarted = loss.process_start_ms_ != 0 &&
                           process_start_ms != 0 &&
                           process_start_ms != loss.process_start_ms_;
    if (responded &&
        (silence < min_silence || now - loss.responded_at_ >= max_list_delay))
        return silence_state::over;
    if (now - loss.given_up_at_ >= max_silence_watch)
        return silence_state::over;
    if (silence < min_silence)
        return silence_state::undecided;
    if (restarted)
        return silence_state::restarted;
    if (responded || now - loss.checked_at_ < silence_check_period)
        return silence_state::undecided;
    return silence_state::suspicious;
}

} // namespace monsoondock::relay::pvt

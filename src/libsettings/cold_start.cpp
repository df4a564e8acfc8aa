#include <monsoondock/settings/cold_start.hpp>

namespace monsoondock::settings {

void on_peer_answer(cold_start& start, const base::daemon_id& peer)
{
    if (start.asked_.erase(peer) != 0)
        start.peer_answered_ = true;
}


bool may_serve(
    const cold_start& start,
    const revision_tracker& tracker,
    base::time_point now)
{
    if (!tracker.in_force())
        return false;
    if (tracker.latest() > tracker.in_force_revision())
        return false;
    if (start.store_answered_)
        return true;
    if (!start.peer_answered_)
        return false;
    return start.asked_.empty() || now >= start.deadline_;
}

} // namespace monsoondock::settings

#include "election.hpp"

#include <algorithm>

namespace monsoondock::entry::pvt {

bool is_election_due(const leader_knowledge& k, base::time_point now)
{
    const auto delay = k.rank_ * rank_delay;
    if (k.first_start_ && k.term_ == 0)
        return true;
    if (k.resigned_)
        return now - k.last_heartbeat_at_ >= delay;
    if (k.term_ != 0 && k.rank_ < store_outage_candidates &&
        now - k.store_contact_at_ > max_leader_store_outage + delay)
        return true;
    const base::time_point since =
        std::max(k.last_heartbeat_at_, k.started_at_);
    return now - since > heartbeat_timeout + delay;
}

} // namespace monsoondock::entry::pvt

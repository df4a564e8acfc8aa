#pragma once

#include "step.hpp"

namespace monsoondock::membership::pvt {

/// Returns how long a member stays suspect before it is declared dead.
base::duration suspicion_timeout(const node_state& node);


/// Declares members dead whose suspicion timeout has expired, and removes dead
/// members after the retention period.
void expire_members(step& s);


/// Detects a pause of the process by the gap since the last step. After a
/// pause, restarts suspicion timers and probing, and schedules an immediate
/// table synchronization and an urgent update, so that members are not declared
/// dead for answers missed during the pause.
void detect_pause(step& s);

} // namespace monsoondock::membership::pvt

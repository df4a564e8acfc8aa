#pragma once

#include "step.hpp"

namespace monsoondock::membership::pvt {

/// Returns how long a suspicion lasts before the member counts as dead.
base::duration suspicion_timeout(const node_state& node);


/// Declares members dead whose suspicion ran out, and forgets members that
/// have been dead for long.
void expire_members(step& s);


/// Starts suspicions and probes anew when the process had been paused, and
/// asks a few members for news first.
void notice_pause(step& s);

} // namespace monsoondock::membership::pvt

#pragma once

namespace monsoondock::membership {

/// Protocol rules that a fault-injection test can disable to show that it
/// detects their absence. Daemons keep all of them enabled.
struct safeguards
{
    /// A node that receives a claim that it is suspect or dead raises its
    /// incarnation.
    bool refutes_ = true;
    /// A claim with a lower incarnation than the known one is ignored.
    bool compares_incarnations_ = true;
    /// A node that was paused restarts its suspicion timers.
    bool detects_pauses_ = true;
};

} // namespace monsoondock::membership

#pragma once

namespace monsoondock::membership {

/// Rules of the protocol that an exploration can switch off, to show that it
/// notices their absence. A daemon leaves all of them on.
struct safeguards
{
    /// A node that hears itself called suspect or dead raises its incarnation.
    bool refutes_ = true;
    /// A claim with a lower incarnation than the one held is dropped.
    bool compares_incarnations_ = true;
    /// A node that was paused starts its suspicions anew.
    bool notices_pauses_ = true;
};

} // namespace monsoondock::membership

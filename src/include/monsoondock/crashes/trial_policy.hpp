#pragma once

#include <chrono>

namespace monsoondock::crashes {

/// How requests with quarantined parts are sent as trials.
struct trial_policy
{
    /// All daemons together send about one such request in this time. Must
    /// exceed the time in which daemons learn of a crash.
    std::chrono::milliseconds interval_{3000};
    /// True if crash reports tell whether a response had begun. A loss before
    /// the response then confirms a quarantine only together with another.
    bool knows_begun_ = true;
};

} // namespace monsoondock::crashes

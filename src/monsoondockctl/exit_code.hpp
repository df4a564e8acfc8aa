#pragma once

namespace monsoondockctl {

/// Exit codes of the program. Scripts depend on the values.
enum class exit_code
{
    ok = 0,
    failed = 1,
    /// Invalid command line or settings.
    bad_input = 2,
    /// A concurrent change of the same object.
    conflict = 3,
    /// The platform or the daemon did not answer.
    unavailable = 4
};

} // namespace monsoondockctl

#pragma once

namespace monsoondockctl {

/// Exit codes of the program, part of its interface.
enum class exit_code
{
    ok = 0,
    failed = 1,
    /// Wrong command line, or settings that are not valid.
    bad_input = 2,
    /// Others changed the same thing.
    conflict = 3,
    /// The platform or the daemon gave no answer.
    unavailable = 4
};

} // namespace monsoondockctl

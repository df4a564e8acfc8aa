#pragma once

#include "exit_code.hpp"

#include <monsoondock/base/problem.hpp>
#include <monsoondock/platform/write_outcome.hpp>
#include <monsoondock/settings/finding.hpp>

#include <string>

namespace monsoondockctl {

/// Prints "monsoondockctl: what; next" on standard error and returns code.
exit_code
fail(exit_code code, const std::string& what, const std::string& next);


/// Prints a problem and returns the code that goes with it.
exit_code fail(const monsoondock::base::problem& p);


/// Prints each fault on a line and then what to do.
exit_code fail(const monsoondock::settings::findings& faults);


/// Prints why a write to key did not succeed.
exit_code fail_write(
    const std::string& key,
    const monsoondock::platform::write_outcome& outcome);

} // namespace monsoondockctl

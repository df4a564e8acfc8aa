#pragma once

#include "exit_code.hpp"

#include <monsoondock/base/problem.hpp>
#include <monsoondock/platform/write_outcome.hpp>
#include <monsoondock/settings/finding.hpp>

#include <string>

namespace monsoondockctl {

/// Prints "monsoondockctl: message; hint" on standard error and returns code.
exit_code
fail(exit_code code, const std::string& message, const std::string& hint);


/// Prints a problem with its hint and returns the corresponding exit code.
exit_code fail(const monsoondock::base::problem& p);


/// Prints each fault on a line of its own, then their number.
exit_code fail(const monsoondock::settings::findings& faults);


/// Prints why a write to key failed and returns the corresponding exit code.
exit_code fail_write(
    const std::string& key,
    const monsoondock::platform::write_outcome& outcome);

} // namespace monsoondockctl

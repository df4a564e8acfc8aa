#pragma once

#include <string>

namespace monsoondock::base {

/// Failure categories that callers can handle differently.
enum class problem_code
{
    invalid_argument,
    not_found,
    conflict,
    unavailable,
    timeout,
    corrupt,
    unauthorized,
    exhausted,
    internal
};

/// Error of a failed operation.
struct problem
{
    problem_code code_ = problem_code::internal;
    /// What failed, in one sentence without a line break.
    std::string message_;
    /// Suggested remedy for the user; may be empty.
    std::string hint_;
};


/// Returns the name of a code as used in logs and JSON.
const char* to_string(problem_code code) noexcept;


/// Returns "code: message (hint)" on one line.
std::string to_string(const problem& p);

} // namespace monsoondock::base

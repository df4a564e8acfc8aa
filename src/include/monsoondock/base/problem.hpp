#pragma once

#include <string>

namespace monsoondock::base {

/// Kinds of failure that a caller of this library can act on.
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

/// Outcome of an operation that did not succeed.
struct problem
{
    problem_code code_ = problem_code::internal;
    /// What went wrong, in one sentence without a line break.
    std::string message_;
    /// What the reader can do next; may be empty.
    std::string hint_;
};


/// Returns the name of a code as it appears in logs and JSON.
const char* to_string(problem_code code) noexcept;


/// Returns "code: message (hint)" on one line.
std::string to_string(const problem& p);

} // namespace monsoondock::base

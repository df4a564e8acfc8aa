#pragma once

#include <array>

namespace monsoondock::load {

/// Kind of request.
enum class request_class
{
    /// A streamed completion that a user is waiting for.
    interactive,
    /// A longer completion with a deadline, whose text no user watches as it
    /// is generated.
    report,
    /// A call, not idempotent, to a service that is not a model.
    call
};

/// All classes, in the order in which reports list them.
inline constexpr std::array ALL_CLASSES{
    request_class::interactive, request_class::report, request_class::call};


/// Returns the name of a class as reports show it.
const char* to_string(request_class c) noexcept;

} // namespace monsoondock::load

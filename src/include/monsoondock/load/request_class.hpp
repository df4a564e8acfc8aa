#pragma once

#include <array>

namespace monsoondock::load {

/// What kind of request a caller sends.
enum class request_class
{
    /// A streamed completion that someone waits for.
    interactive,
    /// A completion with a deadline that nobody watches.
    report,
    /// A call to a plain service that is not idempotent.
    call
};

/// Every class, in the order of reports.
inline constexpr std::array ALL_CLASSES{
    request_class::interactive, request_class::report, request_class::call};


/// Returns the name of a class as reports show it.
const char* to_string(request_class c) noexcept;

} // namespace monsoondock::load

#pragma once

#include <compare>
#include <string>

namespace monsoondock::metrics {

/// Labels of one series. Values come from settings, never from callers, so
/// the number of series is bounded.
struct label
{
    /// Workspace, or "none" before a caller is known.
    std::string workspace_ = "none";
    /// Priority class, or the reason of a refusal.
    std::string class_ = "none";

    friend auto operator<=>(const label&, const label&) = default;
};

} // namespace monsoondock::metrics

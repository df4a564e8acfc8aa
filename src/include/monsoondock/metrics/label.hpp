#pragma once

#include <compare>
#include <string>

namespace monsoondock::metrics {

/// Label values of one time series. They come from the settings, never from
/// request data, which bounds the number of series.
struct label
{
    /// Workspace, or "none" when the caller is not identified.
    std::string workspace_ = "none";
    /// Priority class, or the reason for a rejection.
    std::string class_ = "none";

    friend auto operator<=>(const label&, const label&) = default;
};

} // namespace monsoondock::metrics

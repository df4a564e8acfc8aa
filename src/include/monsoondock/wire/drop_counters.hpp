#pragma once

#include <monsoondock/wire/drop_reason.hpp>

#include <array>
#include <cstdint>

namespace monsoondock::wire {

/// Number of received envelopes that were dropped, by reason.
struct drop_counters
{
    std::array<std::uint64_t, DROP_REASON_COUNT> totals_{};


    /// Returns the number of envelopes dropped for a reason.
    std::uint64_t of(drop_reason reason) const noexcept
    {
        return totals_[static_cast<std::size_t>(reason)];
    }


    /// Counts one dropped envelope.
    void add(drop_reason reason) noexcept
    {
        ++totals_[static_cast<std::size_t>(reason)];
    }
};

} // namespace monsoondock::wire

#pragma once

#include <chrono>
#include <cstdint>

namespace monsoondock::settings {

/// Settings of the claims that make a call run at most once.
template <template <class> class Wrap>
struct claim_settings
{
    /// Time for which a claim and its outcome are kept for repeats.
    Wrap<std::chrono::milliseconds> retention_;
    /// Largest answer body that is kept, in bytes.
    Wrap<std::uint64_t> max_outcome_bytes_;
};

} // namespace monsoondock::settings

#pragma once

#include <chrono>
#include <cstdint>

namespace monsoondock::settings {

/// Settings of claims, the records by which a call runs at most once.
template <template <class> class Wrap>
struct claim_settings
{
    /// Time for which a claim and its outcome are kept to answer repeats of
    /// the call.
    Wrap<std::chrono::milliseconds> retention_;
    /// Largest response body that is kept, in bytes.
    Wrap<std::uint64_t> max_outcome_bytes_;
};

} // namespace monsoondock::settings

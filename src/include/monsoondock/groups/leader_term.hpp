#pragma once

#include <monsoondock/base/identifier.hpp>

#include <cstdint>

namespace monsoondock::groups {

/// The leader of a fabric domain and its term, as the store holds them.
struct leader_term
{
    /// Number of the term; 0 before the first leader.
    std::uint64_t term_ = 0;
    base::daemon_id daemon_;
    /// Distinguishes the processes that ran under the same daemon id.
    std::uint64_t incarnation_ = 0;

    friend bool operator==(const leader_term&, const leader_term&) = default;
};

} // namespace monsoondock::groups

#pragma once

#include <monsoondock/base/identifier.hpp>

#include <cstdint>

namespace monsoondock::groups {

/// The leadership of a fabric domain as the store holds it.
struct leader_term
{
    /// Number of the term; 0 before the first leader.
    std::uint64_t term_ = 0;
    base::daemon_id daemon_;
    /// Tells apart the processes that ran under one daemon name.
    std::uint64_t incarnation_ = 0;

    friend bool operator==(const leader_term&, const leader_term&) = default;
};

} // namespace monsoondock::groups

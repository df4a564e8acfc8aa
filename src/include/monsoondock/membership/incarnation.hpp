#pragma once

#include <compare>
#include <cstdint>

namespace monsoondock::membership {

/// Version number that orders the claims about one member; a claim with a
/// higher incarnation supersedes one with a lower. Only the member itself
/// raises it: at each start, and each time it refutes a claim that it is
/// suspect or dead.
struct incarnation
{
    std::uint64_t value_ = 0;

    friend auto operator<=>(const incarnation&, const incarnation&) = default;
};

} // namespace monsoondock::membership

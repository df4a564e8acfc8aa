#pragma once

#include <compare>
#include <cstdint>

namespace monsoondock::settings {

/// Number of an accepted state of the settings tree. It only grows; 0 means
/// that nothing has been accepted.
struct revision
{
    std::uint64_t value_ = 0;

    friend auto operator<=>(const revision&, const revision&) = default;
};

} // namespace monsoondock::settings

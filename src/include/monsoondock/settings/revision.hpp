#pragma once

#include <compare>
#include <cstdint>

namespace monsoondock::settings {

/// Number of an accepted version of the settings tree. It only increases; 0
/// means that none has been accepted yet.
struct revision
{
    std::uint64_t value_ = 0;

    friend auto operator<=>(const revision&, const revision&) = default;
};

} // namespace monsoondock::settings

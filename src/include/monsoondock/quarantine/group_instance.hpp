#pragma once

#include <monsoondock/base/generation.hpp>
#include <monsoondock/base/identifier.hpp>

#include <compare>

namespace monsoondock::quarantine {

/// A replica group in one generation. A repaired group has a new generation and
/// is a different instance.
struct group_instance
{
    base::group_id group_;
    base::generation generation_;

    friend auto
    operator<=>(const group_instance&, const group_instance&) = default;
};

} // namespace monsoondock::quarantine

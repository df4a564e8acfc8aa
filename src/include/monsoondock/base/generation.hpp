#pragma once

#include <compare>
#include <cstdint>

namespace monsoondock::base {

/// Fencing token of a replica group. It increases with every change of the
/// group's hosts, and an engine that checks it rejects commands with a lower
/// one.
struct generation
{
    std::uint64_t value_ = 0;

    friend auto operator<=>(const generation&, const generation&) = default;
};


/// Serialization hook for cereal.
template <class Archive>
void serialize(Archive& archive, generation& g)
{
    archive(g.value_);
}

} // namespace monsoondock::base

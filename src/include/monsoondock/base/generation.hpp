#pragma once

#include <compare>
#include <cstdint>

namespace monsoondock::base {

/// Fencing number of a replica group. Every change of its hosts takes a
/// higher one, and an engine that checks it refuses orders with a lower one.
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

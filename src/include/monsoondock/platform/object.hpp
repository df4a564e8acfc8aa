#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace monsoondock::platform {

/// Version that the platform assigns to each successful write. Versions
/// increase across the whole store, so a later write has a higher version
/// regardless of its key.
struct version
{
    std::uint64_t value_ = 0;
    /// Number of times that the store was restored from an older copy. Values
    /// are assigned again after that, so the era is compared first. 0 when the
    /// store does not tell.
    std::uint64_t era_ = 0;

    friend bool operator==(const version&, const version&) = default;

    friend std::strong_ordering
    operator<=>(const version& a, const version& b) noexcept
    {
        if (a.era_ != b.era_)
            return a.era_ <=> b.era_;
        return a.value_ <=> b.value_;
    }
};


/// One object in the platform's store. The value is JSON text of at most
/// max_value_bytes.
struct object
{
    std::string key_;
    version version_;
    std::string value_;

    friend bool operator==(const object&, const object&) = default;
};

/// Maximum size of an object's value, in bytes.
inline constexpr std::size_t max_value_bytes = std::size_t{1024} * 1024;

} // namespace monsoondock::platform

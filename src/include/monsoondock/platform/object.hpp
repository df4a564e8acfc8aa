#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace monsoondock::platform {

/// Version that the platform gives to each accepted write. Versions of the
/// whole store grow, so a later write has a higher one whatever its key.
struct version
{
    std::uint64_t value_ = 0;

    friend auto operator<=>(const version&, const version&) = default;
};


/// One object of the platform's store. The value is JSON text of at most
/// max_value_bytes.
struct object
{
    std::string key_;
    version version_;
    std::string value_;

    friend bool operator==(const object&, const object&) = default;
};

/// Largest value that the platform holds, in bytes.
inline constexpr std::size_t max_value_bytes = std::size_t{1024} * 1024;

} // namespace monsoondock::platform

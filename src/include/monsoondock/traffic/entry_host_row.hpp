#pragma once

#include <cstdint>
#include <string>

namespace monsoondock::traffic {

/// Distance of an entry host from the daemon that lists it, nearest first.
enum class entry_distance : std::uint8_t
{
    same_data_centre,
    same_region,
    other_region
};


/// Entry host that accepts new callers.
struct entry_host_row
{
    /// Address that callers connect to.
    std::string address_;
    entry_distance distance_ = entry_distance::same_data_centre;

    friend bool
    operator==(const entry_host_row&, const entry_host_row&) = default;
};

} // namespace monsoondock::traffic

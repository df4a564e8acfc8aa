#pragma once

#include <cstdint>
#include <string>

namespace monsoondock::traffic {

/// How far an entry host is from the daemon that names it.
enum class entry_distance : std::uint8_t
{
    same_data_centre,
    same_region,
    other_region
};


/// Entry host that takes new callers.
struct entry_host_row
{
    /// Address that callers connect to.
    std::string address_;
    entry_distance distance_ = entry_distance::same_data_centre;

    friend bool
    operator==(const entry_host_row&, const entry_host_row&) = default;
};

} // namespace monsoondock::traffic

#pragma once

#include <cstdint>

namespace monsoondock::membership {

/// Whether an entry host may be offered to new callers.
enum class entry_mode : std::uint8_t
{
    open,
    draining,
    /// Serves its callers through other daemons, since its links to the
    /// upstreams are cut.
    detouring
};


/// Returns the name of a mode as it appears in logs and JSON.
const char* to_string(entry_mode mode) noexcept;

} // namespace monsoondock::membership

#pragma once

#include <optional>
#include <string_view>

namespace monsoondock::groups {

/// Stage in the life cycle of a replica group. Requests are dispatched only to
/// serving groups. The hosts of a group are assigned to it until it is retired.
enum class group_phase
{
    forming,
    serving,
    retiring,
    retired
};


/// Returns the name of a phase as it appears in the store.
const char* to_string(group_phase phase) noexcept;


/// Returns the phase of a name, or nothing for an unknown name.
std::optional<group_phase> parse_group_phase(std::string_view name) noexcept;

} // namespace monsoondock::groups

#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace monsoondock::fleet {

/// Identifies one formation of a replica group. The epoch increases with each
/// formation in a deployment and is never reused for a different set of
/// members.
struct group_key
{
    std::string name_;
    std::uint64_t epoch_ = 0;

    friend auto operator<=>(const group_key&, const group_key&) = default;
};


/// State of a host's membership in a group, as reported by the host.
enum class group_phase : std::uint8_t
{
    joining,
    ready,
    open,
    closing,
    broken
};


/// Membership of a host in a group.
struct group_role
{
    group_key key_;
    /// Position among the members; 0 is the head, which receives the group's
    /// requests.
    unsigned rank_ = 0;
    group_phase phase_ = group_phase::joining;

    friend bool operator==(const group_role&, const group_role&) = default;
};


/// Returns the name of a phase as it appears in logs.
const char* to_string(group_phase phase) noexcept;

} // namespace monsoondock::fleet

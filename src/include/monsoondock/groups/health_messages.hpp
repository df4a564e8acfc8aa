#pragma once

#include <monsoondock/groups/group_health.hpp>
#include <monsoondock/groups/lease_claim.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace monsoondock::groups {

/// Most groups in one request or reply.
inline constexpr std::size_t MAX_HEALTH_GROUPS = 64;

/// Most claims of leadership in one reply.
inline constexpr std::size_t MAX_LEASE_CLAIMS = 8;


/// Asks a daemon for its verdicts.
struct health_request
{
    /// Time on the asker's clock in nanoseconds; the reply repeats it.
    std::uint64_t stamp_ = 0;
    /// Keys of the groups asked for; empty for all groups of the data centre
    /// of the daemon that is asked.
    std::vector<std::uint64_t> groups_;
};


/// Answers a health_request.
struct health_reply
{
    std::uint64_t stamp_ = 0;
    std::vector<group_health> entries_;
    std::vector<lease_claim> leases_;
};


} // namespace monsoondock::groups

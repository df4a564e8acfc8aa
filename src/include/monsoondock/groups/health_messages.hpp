#pragma once

#include <monsoondock/groups/group_health.hpp>
#include <monsoondock/groups/lease_claim.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace monsoondock::groups {

/// Largest number of groups in one request or reply.
inline constexpr std::size_t MAX_HEALTH_GROUPS = 64;

/// Largest number of leadership claims in one reply.
inline constexpr std::size_t MAX_LEASE_CLAIMS = 8;

/// Largest number of limits of groups in one reply.
inline constexpr std::size_t MAX_GROUP_LIMITS = 4;


/// Asks a daemon for the health of groups.
struct health_request
{
    /// Time of sending on the requester's clock in nanoseconds; the reply
    /// repeats it.
    std::uint64_t stamp_ = 0;
    /// Keys of the requested groups. Empty requests all groups of the receiving
    /// daemon's data centre.
    std::vector<std::uint64_t> groups_;
};


/// Limit of requests that the head of a group has named.
struct group_limit
{
    /// See group_generation_key.
    std::uint64_t key_ = 0;
    /// Requests a second of all daemons; 0 when the limit has ended.
    double per_second_ = 0;
    /// Time since the head said so in milliseconds.
    std::uint16_t age_ms_ = 0;

    friend bool operator==(const group_limit&, const group_limit&) = default;
};


/// Reply to a health_request.
struct health_reply
{
    /// stamp_ of the request.
    std::uint64_t stamp_ = 0;
    std::vector<group_health> entries_;
    /// Claims of the domains that the replying daemon leads.
    std::vector<lease_claim> leases_;
    /// Limits that are in force or have ended lately.
    std::vector<group_limit> limits_{};
};

} // namespace monsoondock::groups

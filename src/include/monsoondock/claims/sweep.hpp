#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/claims/clock_reading.hpp>
#include <monsoondock/platform/listing.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace monsoondock::claims {

/// Number of key ranges into which the claims are divided for the deletion of
/// expired claims.
inline constexpr unsigned SWEEP_RANGE_COUNT = 4096;


/// Time for which claims are retained.
struct claim_retention
{
    /// Claims with an outcome.
    std::chrono::milliseconds finished_ = std::chrono::hours(168);
    /// Claims whose outcome is not known.
    std::chrono::milliseconds unresolved_ = std::chrono::hours(720);
};

/// Returns the retention of the claims of a service.
using retention_lookup =
    std::function<claim_retention(const base::deployment_id&)>;


/// Claim to delete if it still has version_.
struct expired_claim
{
    std::string key_;
    platform::version version_;

    friend bool
    operator==(const expired_claim&, const expired_claim&) = default;
};


/// Returns the key prefix of the claims in one range.
std::string sweep_prefix(unsigned range);


/// Returns true when self is the one of members that sweeps the range. members
/// holds all live daemons, in any order. When daemons disagree about the
/// members, a range is swept twice or not until a later cycle; neither does
/// harm.
bool is_sweeper(
    unsigned range,
    const base::daemon_id& self,
    const std::vector<base::daemon_id>& members);


/// Returns the oldest claims of one listed range that are past retention, at
/// most limit of them, so that sweeping a range costs one list call and at most
/// limit deletes.
std::vector<expired_claim> plan_sweep(
    const platform::listing& range,
    const retention_lookup& retention,
    wall_time now,
    std::size_t limit);

} // namespace monsoondock::claims

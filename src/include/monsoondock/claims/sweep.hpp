#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/claims/moment.hpp>
#include <monsoondock/platform/listing.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace monsoondock::claims {

/// Number of key ranges into which the claims are divided for sweeping.
inline constexpr unsigned SWEEP_RANGE_COUNT = 4096;


/// How long claims are kept.
struct claim_retention
{
    /// For a claim with an outcome.
    std::chrono::milliseconds finished_ = std::chrono::hours(168);
    /// For a claim whose outcome is not known.
    std::chrono::milliseconds unresolved_ = std::chrono::hours(720);
};

/// Returns how long the claims of a service are kept.
using retention_lookup =
    std::function<claim_retention(const base::deployment_id&)>;


/// A claim to delete if it still has this version.
struct expired_claim
{
    std::string key_;
    platform::version version_;

    friend bool
    operator==(const expired_claim&, const expired_claim&) = default;
};


/// Returns the prefix of the claims in one range.
std::string sweep_prefix(unsigned range);


/// Returns true when self sweeps the range among members, all live daemons in
/// any order. Two daemons that disagree about the members sweep a range twice
/// or leave it for later; both are harmless.
bool is_sweeper(
    unsigned range,
    const base::daemon_id& self,
    const std::vector<base::daemon_id>& members);


/// Picks the oldest claims of one listed range that are past retention, at
/// most limit of them. One step so costs one read and at most limit writes.
std::vector<expired_claim> plan_sweep(
    const platform::listing& range,
    const retention_lookup& retention,
    wall_time now,
    std::size_t limit);

} // namespace monsoondock::claims

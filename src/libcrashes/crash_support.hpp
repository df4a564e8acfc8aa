#pragma once

#include <monsoondock/crashes/lost_request.hpp>

#include <cstdint>
#include <deque>
#include <set>
#include <vector>

namespace monsoondock::crashes::pvt {

/// Ends of hosts under requests that have certain parts.
struct crash_support
{
    std::set<std::uint64_t> host_runs_;
    std::set<std::uint64_t> requests_;
    /// The same for requests whose response had just begun.
    std::set<std::uint64_t> begun_host_runs_;
    std::set<std::uint64_t> begun_requests_;
    base::time_point first_ = base::time_point::max();
    base::time_point last_ = base::time_point::min();
};


/// A set of parts that several lost requests have in common.
struct suspected_set
{
    part_set parts_;
    crash_support support_;
};


/// Returns the support for a set of parts.
crash_support
support_of(const std::deque<lost_request>& lost, const part_set& parts);


/// Returns what a lost request has in common with other ones: the largest sets
/// first, as a request that has only some of the parts still tests those, and
/// among equally large ones those that explain the most ends of hosts.
std::vector<suspected_set> suspected_sets(
    const std::deque<lost_request>& lost, const lost_request& latest);

/// Returns true when a set of more parts explains as much as a set: the ends of
/// the same hosts, by a considerable share of the requests. By chance, some of
/// many requests have more parts in common.
bool explains_as_much(
    const crash_support& closer, const crash_support& support);


/// Returns true when lost requests have more parts in common than the suspected
/// ones, and these explain as much.
bool has_closer_explanation(
    const std::deque<lost_request>& lost, const suspected_set& suspected);

} // namespace monsoondock::crashes::pvt

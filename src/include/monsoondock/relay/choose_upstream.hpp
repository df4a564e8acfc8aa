#pragma once

#include <monsoondock/relay/upstream.hpp>
#include <monsoondock/relay/upstream_table.hpp>

#include <optional>
#include <set>
#include <vector>

namespace monsoondock::relay {

/// Parameters of one choice of an upstream.
struct choice_request
{
    /// Requested model; empty for a service that has no models.
    std::string model_;
    /// Data centre of this daemon.
    base::data_centre_id local_data_centre_;
    /// Hosts to which this request has already been sent.
    std::set<base::host_id> tried_;
    base::time_point now_;
    /// Random number in [0, 1) that selects among the suitable upstreams.
    double random_fraction_ = 0;
    /// Expected number of requests, including this one, that all daemons
    /// together send between two load reports and that the known loads
    /// therefore do not include.
    double unreported_requests_ = 1;
    /// True when upstreams are ranked by their learned pace and capacity
    /// rather than by their slots and event intervals.
    bool learned_capacity_ = false;
};


/// Weights of the cost function that ranks upstreams.
struct choice_weights
{
    /// Cost of an upstream in another data centre, expressed as load per slot.
    double locality_ = 0.1;
    /// Cost of an upstream whose event interval is more than twice the median
    /// of its model: this value for each multiple of the median beyond the
    /// first, expressed as load per slot.
    double slowness_ = 1.0;
    /// Cost of a request at an upstream that runs nothing else, expressed as
    /// load per slot; counts with a learned pace only. An upstream that is four
    /// times slower is then used when the others have one and a half requests
    /// for each slot, and otherwise only by probes.
    double service_ = 0.5;
};


/// Chooses a lightly loaded upstream and returns its index in all, or nothing
/// when no upstream is eligible.
///
/// The unreported requests are distributed as if they filled the upstreams
/// with the lowest cost first, until all of these reach the same cost; each is
/// then chosen with a probability proportional to the requests it would get.
/// Without unreported requests the choice falls on the upstream with the lowest
/// cost. Unhealthy upstreams are chosen only when there is no other. Upstreams
/// to which the request has already been sent, that are leaving, that have
/// asked for a pause or whose limit is reached are never chosen; after a pause
/// an upstream counts with a growing part of its slots (see usable_share).
///
/// With learned capacity, the load of an upstream is divided by its learned
/// limit in place of its slots, and its cost is multiplied by its relative
/// pace; the requests that it takes up while others fill up shrink alike. While
/// no upstream differs from the others, the choice is the same as without.
///
/// Designed for many groups with few requests each, some of them slow, and for
/// up to hundreds of daemons that choose at the same time from loads of about
/// the same age. If every daemon chose the least loaded upstream, together they
/// would overload it.
std::optional<std::size_t> choose_upstream(
    const std::vector<upstream>& all,
    const upstream_table& table,
    const choice_request& request,
    const choice_weights& weights = {});


/// Returns the largest number of free slots of any healthy upstream of a model
/// but the excluded ones, or nothing when there is no such upstream that
/// accepts requests. The number is negative when requests are queued at all of
/// them.
std::optional<long> max_free_slots(
    const std::vector<upstream>& all,
    const upstream_table& table,
    const std::string& model,
    const std::set<base::host_id>& excluded,
    base::time_point now);


/// Same for the upstreams of a model whose links to this daemon are cut,
/// whether or not they accept requests.
std::optional<long> max_free_slots_behind_cuts(
    const std::vector<upstream>& all,
    const upstream_table& table,
    const std::string& model);

} // namespace monsoondock::relay

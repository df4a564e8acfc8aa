#pragma once

#include <monsoondock/relay/upstream.hpp>
#include <monsoondock/relay/upstream_board.hpp>

#include <optional>
#include <set>
#include <vector>

namespace monsoondock::relay {

/// What a choice depends on beside the upstreams.
struct choice_request
{
    /// Model asked for; empty for a plain service.
    std::string model_;
    base::data_centre_id here_;
    /// Hosts that this request was sent to already.
    std::set<base::host_id> tried_;
    base::time_point now_;
    /// Number from 0 up to, but not including, 1 that spreads choices.
    double draw_ = 0;
    /// Requests, this one included, that all daemons together send within the
    /// time that their news of each other is old.
    double unheard_ = 1;
};


/// Weights of a choice.
struct choice_weights
{
    /// Load, as a share of the slots, that the own data centre may have more.
    double locality_ = 0.1;
    /// Load added to an upstream whose events come this much slower than the
    /// median of its model, for each multiple beyond the first.
    double slowness_ = 1.0;
};


/// Chooses an upstream with little load for its slots and speed: one of those
/// that the unheard requests would fill up if the least loaded were filled
/// first, each by the share that it would get. With nothing unheard that is
/// the least loaded. Doubted upstreams are taken only when no other is left;
/// upstreams that the request was sent to already are never taken. Returns
/// nothing when there are none.
///
/// Load pattern: many groups with few requests each, some of them slow, and
/// up to hundreds of daemons that choose at once from news of about the same
/// age; were all to take the least loaded, they would flood it.
std::optional<std::size_t> choose_upstream(
    const std::vector<upstream>& all,
    const upstream_board& board,
    const choice_request& request,
    const choice_weights& weights = {});


/// Returns the free places of the least loaded upstream of a model; below zero
/// when requests wait there. Doubted upstreams do not count; nothing is
/// returned when there are no others.
std::optional<long> most_spare_places(
    const std::vector<upstream>& all,
    const upstream_board& board,
    const std::string& model,
    base::time_point now);

} // namespace monsoondock::relay

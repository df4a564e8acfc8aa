#pragma once

#include <monsoondock/catalog/model.hpp>
#include <monsoondock/fleet/host_info.hpp>

#include <chrono>

namespace monsoondock::placement {

/// Time to join for a host whose last group had the same model.
inline constexpr std::chrono::milliseconds rejoin_time{200};


/// How a host would come by the weights of a model.
enum class weights_source
{
    /// Its last group had the model.
    in_memory,
    /// It holds the weights.
    on_host,
    /// They must be loaded from the weight store.
    weight_store
};


/// Returns where a host has a model's weights. last_model is the model of its
/// last group since its start.
weights_source find_weights(
    const fleet::host_info& host,
    const std::string& last_model,
    const catalog::model& m);


/// Returns the time that a join takes.
std::chrono::milliseconds
join_time(weights_source source, const catalog::model& m);

} // namespace monsoondock::placement

#pragma once

#include <monsoondock/catalog/model.hpp>
#include <monsoondock/fleet/host_info.hpp>

#include <chrono>

namespace monsoondock::placement {

/// Time to join for a host whose previous group ran the same model.
inline constexpr std::chrono::milliseconds rejoin_time{200};


/// Where a host gets the weights of a model from.
enum class weights_source
{
    /// Still in memory: the host's previous group ran the model.
    in_memory,
    /// Staged on the host.
    on_host,
    /// Must be loaded from the weight store.
    weight_store
};


/// Returns where a host gets a model's weights from. last_model is the model of
/// its last group since the start of its process; empty when there was none.
weights_source find_weights(
    const fleet::host_info& host,
    const std::string& last_model,
    const catalog::model& m);


/// Returns the time that a host takes to join a group of the model.
std::chrono::milliseconds
join_time(weights_source source, const catalog::model& m);

} // namespace monsoondock::placement

#pragma once

#include <chrono>
#include <string>

namespace monsoondock::catalog {

/// One model that a deployment serves.
struct model
{
    std::string name_;
    /// Number of hosts in a replica group of the model.
    unsigned group_size_ = 1;
    /// Factor by which the engine's times are multiplied for this model.
    double time_factor_ = 1.0;
    /// Expected share of the deployment's load, from 0 to 1; used until load
    /// has been measured.
    double expected_share_ = 0.0;
    /// Time for a host to load the weights from the weight store.
    std::chrono::milliseconds load_time_{0};
    /// Time for a host to join a group when it already holds the weights.
    std::chrono::milliseconds warm_join_time_{0};
};

} // namespace monsoondock::catalog

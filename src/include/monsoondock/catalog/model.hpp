#pragma once

#include <chrono>
#include <string>

namespace monsoondock::catalog {

/// One model of an engine deployment.
struct model
{
    std::string name_;
    /// Hosts that a replica group of the model needs.
    unsigned group_size_ = 1;
    /// Factor on all of a group's times against the engine's figures.
    double time_factor_ = 1.0;
    /// Share of the deployment's work that is expected at the start.
    double expected_share_ = 0.0;
    /// Time to load the weights from the weight store.
    std::chrono::milliseconds load_time_{0};
    /// Time to join a group when the host holds the weights already.
    std::chrono::milliseconds warm_join_time_{0};
};

} // namespace monsoondock::catalog

#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/placement/order.hpp>
#include <monsoondock/placement/planner_config.hpp>
#include <monsoondock/placement/planner_input.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace monsoondock::placement {

namespace pvt {
struct planner_state;
}


/// Generates epochs. Each call returns a higher epoch than any earlier call, by
/// any planner of the deployment and across restarts.
using epoch_source = std::function<std::uint64_t()>;


/// Forms, opens, closes and repairs the replica groups of one deployment. A
/// deterministic state machine without clock, sockets or threads: each step
/// takes its input and returns the orders to send.
///
/// Designed for frequent failures: members fail permanently every few seconds,
/// empty hosts are added at the same rate, and occasionally a whole fabric
/// domain fails. The remaining hosts of broken groups are regrouped
/// immediately.
class planner
{
public:
    planner(
        base::deployment_id deployment,
        planner_config config,
        epoch_source epochs);

    planner(planner&&) noexcept;
    planner& operator=(planner&&) noexcept;
    ~planner();


    /// Returns the orders that are due. The caller must report the outcome of
    /// each to handle_order_outcome, also when it did not send the order.
    std::vector<order> step(const planner_input& input);


    /// Records the outcome of the order with this number.
    void handle_order_outcome(
        std::uint64_t number, order_outcome outcome, base::time_point now);


    /// Returns the heads of the groups that this planner is closing or
    /// dissolving; they should get no new requests.
    std::vector<base::host_id> retiring_heads() const;


    /// Returns the number of groups that are serving.
    std::size_t serving_groups() const;

private:
    std::unique_ptr<pvt::planner_state> state_;
};

} // namespace monsoondock::placement

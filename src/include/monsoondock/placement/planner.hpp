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


/// Source of epochs: each call returns a higher one than any before, over all
/// planners of the deployment and their restarts.
using epoch_source = std::function<std::uint64_t()>;


/// Forms, opens, closes and repairs the replica groups of one deployment. A
/// state machine without clock, sockets or threads: each step takes its input
/// and returns the orders to send.
///
/// Load pattern: members of groups fall silent for good every few seconds,
/// empty hosts are added as often, and sometimes a whole fabric domain goes
/// dark; survivors of broken groups are combined at once.
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


    /// Returns the orders that are due. Every order must be reported back by
    /// handle_order_outcome, whether or not it was sent.
    std::vector<order> step(const planner_input& input);


    /// Takes the outcome of an order.
    void handle_order_outcome(
        std::uint64_t number, order_outcome outcome, base::time_point now);


    /// Returns the heads of groups that this planner is about to close or
    /// gives up; no new request should go there.
    std::vector<base::host_id> retiring_heads() const;


    /// Returns the number of groups that serve.
    std::size_t serving_groups() const;

private:
    std::unique_ptr<pvt::planner_state> state_;
};

} // namespace monsoondock::placement

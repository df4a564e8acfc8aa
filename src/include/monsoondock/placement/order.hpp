#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/fleet/group_role.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace monsoondock::placement {

/// Action that a host is ordered to take.
enum class order_kind : std::uint8_t
{
    /// Become a member of a group.
    join,
    /// The head of a ready group starts to accept requests.
    open,
    /// The head accepts no more requests, finishes those in progress and
    /// becomes ready again.
    close,
    /// Leave the group immediately.
    leave,
    /// Load the weights of a model without interrupting other work.
    stage
};


/// One order to one host. Only the members that its kind needs are set.
struct order
{
    /// Identifies the order within its planner, for handle_order_outcome.
    std::uint64_t number_ = 0;
    order_kind kind_ = order_kind::join;
    base::host_id host_;
    /// Group, for join, open, close and leave.
    fleet::group_key group_;
    /// Model, for join and stage.
    std::string model_;
    /// All members of the group, the head first, for join.
    std::vector<base::host_id> members_;
};


/// Outcome of an order.
enum class order_outcome : std::uint8_t
{
    /// The host has started to carry it out, or its state already matches.
    accepted,
    /// The host's state does not allow it, or the epoch is out of date.
    refused,
    /// Nothing listens at the address, or a different host does.
    no_such_host,
    /// The host did not answer; it may have carried out the order or may still
    /// do so.
    unanswered
};


/// Returns the names as they appear in logs.
const char* to_string(order_kind kind) noexcept;
const char* to_string(order_outcome outcome) noexcept;

} // namespace monsoondock::placement

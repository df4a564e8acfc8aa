#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/fleet/group_role.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace monsoondock::placement {

/// What a host is told to do.
enum class order_kind : std::uint8_t
{
    /// Become a member of a group.
    join,
    /// The head of a ready group starts to take requests.
    open,
    /// The head finishes its requests, takes no more and becomes ready.
    close,
    /// Leave the group at once.
    leave,
    /// Load the weights of a model beside all other work.
    stage
};


/// One order to one host.
struct order
{
    /// Number of the order within one planner; names its result.
    std::uint64_t number_ = 0;
    order_kind kind_ = order_kind::join;
    base::host_id host_;
    /// Group of a join, open, close or leave.
    fleet::group_key group_;
    /// Model of a join or stage.
    std::string model_;
    /// All members of a join, the head first.
    std::vector<base::host_id> members_;
};


/// How an order ended.
enum class order_outcome : std::uint8_t
{
    /// The host has begun it, or what it asks for already holds.
    accepted,
    /// It does not fit the host's state, or an epoch is too low.
    refused,
    /// Nothing listens at the address, or another host does.
    no_such_host,
    /// The host did not answer; it may carry the order out, also later.
    unanswered
};


/// Returns the names as they appear in logs.
const char* to_string(order_kind kind) noexcept;
const char* to_string(order_outcome outcome) noexcept;

} // namespace monsoondock::placement

#pragma once

#include <monsoondock/membership/datagram.hpp>
#include <monsoondock/membership/member_event.hpp>

#include <vector>

namespace monsoondock::membership {

/// Result of one step of a node: datagrams that the owner must send and events
/// that it should handle.
struct node_output
{
    std::vector<datagram> datagrams_;
    std::vector<member_event> events_;
};

} // namespace monsoondock::membership

#pragma once

#include <monsoondock/membership/datagram.hpp>
#include <monsoondock/membership/member_event.hpp>

#include <vector>

namespace monsoondock::membership {

/// What one step of a node asks its owner to do.
struct node_output
{
    std::vector<datagram> datagrams_;
    std::vector<member_event> events_;
};

} // namespace monsoondock::membership

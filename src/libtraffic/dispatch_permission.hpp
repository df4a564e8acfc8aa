#pragma once

#include "chat_attempt.hpp"
#include "tracked_dispatch.hpp"

#include <boost/asio/awaitable.hpp>

#include <variant>
#include <vector>

namespace monsoondock::traffic::pvt {

/// Groups to which a completion may be sent now.
using permitted_groups = std::vector<base::group_id>;

/// The permitted groups, or the refusal to return to the caller.
using permission_result = std::variant<permitted_groups, refusal>;


/// Requests permission to dispatch from the quarantine and retries for a
/// limited time while the refusal is transient. Once permitted, the quarantine
/// tracks dispatch until it ends.
boost::asio::awaitable<permission_result> request_permission(
    traffic_thread& thread,
    const request_context& context,
    const chat_progress& progress,
    tracked_dispatch& dispatch);

} // namespace monsoondock::traffic::pvt

#pragma once

#include "caller_connection.hpp"
#include "chat_request.hpp"
#include "event_splitter.hpp"
#include "reply.hpp"
#include "request_context.hpp"
#include "tracked_dispatch.hpp"
#include "traffic_thread.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <variant>

namespace monsoondock::traffic::pvt {

/// State of a completion that is kept over several attempts.
struct chat_progress
{
    chat_request chat_;
    event_splitter splitter_;
    /// True once the response head was written to the caller.
    bool head_sent_ = false;
    run_state run_ = run_state::unsent;
    base::time_point last_write_{};
    /// The current dispatch as tracked by the quarantine; may be null.
    tracked_dispatch* dispatch_ = nullptr;
    /// Obtains all that another attempt needs while the current one goes on:
    /// another group, the permission to dispatch and a retry of the budget.
    /// Returns true when all are granted.
    std::function<boost::asio::awaitable<bool>()> obtain_replacement_;
};


/// The group did not run the request; another group may run it.
struct attempt_not_run
{};


/// The group may have run part of the request before it failed.
struct attempt_failed
{};

/// How one attempt ended.
using attempt_result = std::variant<reply, attempt_not_run, attempt_failed>;


/// Sends the request to one group and relays its response. Checks may_dispatch
/// again just before sending. When the group sends nothing for the upstream
/// idle time-out, the attempt fails if a replacement is granted or the group is
/// no longer known to be alive; otherwise it goes on.
boost::asio::awaitable<attempt_result> attempt_chat(
    traffic_thread& thread,
    caller_connection& caller,
    request_context& context,
    chat_progress& progress,
    const group_row& group);

} // namespace monsoondock::traffic::pvt

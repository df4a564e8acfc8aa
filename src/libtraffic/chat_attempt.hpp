#pragma once

#include "caller_connection.hpp"
#include "chat_request.hpp"
#include "event_splitter.hpp"
#include "reply.hpp"
#include "request_context.hpp"
#include "suspect_flight.hpp"
#include "traffic_thread.hpp"

#include <boost/asio/awaitable.hpp>

#include <variant>

namespace monsoondock::traffic::pvt {

/// State of a completion that lasts over several attempts.
struct chat_progress
{
    chat_request chat_;
    event_splitter splitter_;
    /// True once the head of the answer went to the caller.
    bool head_sent_ = false;
    run_state run_ = run_state::unsent;
    base::time_point last_write_{};
    /// The present dispatch as the quarantine sees it; may be null.
    suspect_flight* flight_ = nullptr;
};


/// The group did not run the request; another one may.
struct attempt_not_run
{};


/// The group may have run part of it and failed.
struct attempt_broken
{};

/// How one attempt ended.
using attempt_result = std::variant<reply, attempt_not_run, attempt_broken>;


/// Sends the request to one group and relays its answer. The group must pass
/// may_dispatch at the moment of sending.
boost::asio::awaitable<attempt_result> attempt_chat(
    traffic_thread& thread,
    caller_connection& caller,
    request_context& context,
    chat_progress& progress,
    const group_row& group);

} // namespace monsoondock::traffic::pvt

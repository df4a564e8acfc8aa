#pragma once

#include "request_context.hpp"
#include "traffic_thread.hpp"

#include <monsoondock/traffic/refusal.hpp>

#include <boost/asio/awaitable.hpp>

#include <string>
#include <variant>

namespace monsoondock::traffic::pvt {

/// The call got no whole answer.
struct call_failed
{
    run_state run_ = run_state::unsent;
    std::string reason_;
};

/// How one call of a plain service ended.
using call_result = std::variant<buffered_response, call_failed>;


/// Sends the request to host on a connection of its own, with path as the
/// target, and reads the whole answer. One attempt; run_ of a failure is
/// unsent only when no byte can have left.
boost::asio::awaitable<call_result> call_service(
    traffic_thread& thread,
    const request_context& context,
    const service_host& host,
    std::string path);

} // namespace monsoondock::traffic::pvt

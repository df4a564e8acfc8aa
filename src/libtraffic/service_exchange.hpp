#pragma once

#include "request_context.hpp"
#include "traffic_thread.hpp"

#include <monsoondock/traffic/refusal.hpp>

#include <boost/asio/awaitable.hpp>

#include <string>
#include <variant>

namespace monsoondock::traffic::pvt {

/// The call got no complete response.
struct call_failure
{
    run_state run_ = run_state::unsent;
    std::string reason_;
};

/// How one call of a plain service ended.
using call_result = std::variant<buffered_response, call_failure>;


/// Sends the request to host once, on a new connection with path as the target,
/// and reads the complete response. run_ of a failure is unsent only when
/// nothing can have been sent.
boost::asio::awaitable<call_result> call_service(
    traffic_thread& thread,
    const request_context& context,
    const service_host& host,
    std::string path);

} // namespace monsoondock::traffic::pvt

#pragma once

#include "reply.hpp"
#include "request_context.hpp"
#include "traffic_thread.hpp"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace monsoondock::traffic::pvt {

/// Serves a call that may run at most once: claims it in the platform's store,
/// sends it to one host of the service and stores its outcome. Store writes may
/// continue after the response; until they finish the call counts as a request
/// in progress.
boost::asio::awaitable<reply> serve_claimed_call(
    traffic_thread& thread,
    request_context& context,
    const service_row& service,
    std::string path);

} // namespace monsoondock::traffic::pvt

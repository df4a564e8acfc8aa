#pragma once

#include "reply.hpp"
#include "request_context.hpp"
#include "traffic_thread.hpp"

#include <boost/asio/awaitable.hpp>

namespace monsoondock::traffic::pvt {

/// Serves `/services/<deployment>/<path>` through a plain service.
boost::asio::awaitable<reply>
serve_service_call(traffic_thread& thread, request_context& context);

} // namespace monsoondock::traffic::pvt

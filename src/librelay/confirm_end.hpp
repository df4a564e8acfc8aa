#pragma once

#include "receive_response.hpp"

#include <monsoondock/base/body_end.hpp>

namespace monsoondock::relay::pvt {

/// Returns what is known of the end of the body that the try has received.
base::body_end
body_end_of(const try_context& c, const http_response_parser& parser);


/// Finds out whether the host of a response that has ended with its connection
/// still accepts connections, and keeps the new one for other requests.
boost::asio::awaitable<base::host_check> check_host(try_context& c);

} // namespace monsoondock::relay::pvt

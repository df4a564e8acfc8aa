#pragma once

#include "receive_response.hpp"

#include <monsoondock/base/body_end.hpp>

namespace monsoondock::relay::pvt {

/// Returns where a second response to the request begins in a part of a body
/// that ends with its connection, or npos.
std::size_t find_second_response(const try_context& c, std::string_view text);


/// Returns what is known of the end of the body that the try has received.
base::body_end
body_end_of(const try_context& c, const http_response_parser& parser);


/// Finds out whether the host of a response that has ended with its connection
/// still accepts connections.
boost::asio::awaitable<base::host_check> check_host(try_context& c);

} // namespace monsoondock::relay::pvt
